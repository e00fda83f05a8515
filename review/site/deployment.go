// Package site runs a small deployment on loopback addresses: the entries are processes
// of the project's program, and the platform's store, the servers and the callers are
// stand-ins within the process of the case.
package site

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/standin"
)

// StableTime is the operators' stableMs.
const StableTime = 3 * time.Second

const (
	firstPort, lastPort = 21000, 31000
	// portsPerInstance is the number of ports of portRange.
	portsPerInstance = 16
	// Ports of an instance, relative to the first one, which is that of the peers.
	callerPort, readyPort, controlPort, directoryPort, metricsPort = 1, 2, 3, 4, 10
	// storePort is the store's port at its own address.
	storePort = 0
	storeIP   = "127.0.90.1"
	// readyTimeout bounds the wait for an entry.
	readyTimeout = 20 * time.Second
	// heartbeatPeriod is the operators' heartbeatMs.
	heartbeatPeriod = 1200 * time.Millisecond
)

// Zones are the data centres, each in a region of its own.
var Zones = []string{"gulf-mobile", "piedmont-gastonia", "delta-greenville"}

func regionOf(zone string) string {
	region, _, _ := strings.Cut(zone, "-")
	return region
}

// Deployment is a small deployment.
type Deployment struct {
	Store   *standin.Store
	Entries []*Entry
	Workers []*Worker
	Record  *Record

	dir      string
	program  string
	basePort int
	server   *http.Server
	done     chan struct{}
	wait     sync.WaitGroup
}

// Entry is an entry process.
type Entry struct {
	Name, Zone string
	// Addr is the address for callers.
	Addr string

	deployment *Deployment
	ip         string
	settings   string
	command    *exec.Cmd
	exited     chan struct{}
	// StartedAt is when the process was started last.
	StartedAt time.Time
}

// New starts the store and prepares entriesPerZone entries in each zone. Program is the
// project's program, as the deploy file builds it.
func New(program string, entriesPerZone int, record *Record) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Store: standin.NewStore(), Record: record, dir: dir, program: program, done: make(chan struct{})}
	var ips []string
	for i := range entriesPerZone * len(Zones) {
		ips = append(ips, fmt.Sprintf("127.0.91.%d", i+1))
	}
	if d.basePort, err = freePorts(append(ips, storeIP)); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", d.storeAddr())
	if err != nil {
		return nil, err
	}
	d.server = &http.Server{Handler: d.Store}
	go func() { _ = d.server.Serve(listener) }()
	for i, ip := range ips {
		zone := Zones[i%len(Zones)]
		e := &Entry{
			Name: fmt.Sprintf("front-%s-%d", zone, i/len(Zones)+1), Zone: zone, Addr: d.addr(ip, callerPort),
			deployment: d, ip: ip, settings: filepath.Join(dir, fmt.Sprintf("entry-%d.toml", i)),
		}
		if err := os.WriteFile(e.settings, []byte(d.settingsOf(e, ips[:len(Zones)])), 0o600); err != nil {
			return nil, err
		}
		d.Entries = append(d.Entries, e)
	}
	d.wait.Go(d.writeRows)
	return d, nil
}

// freePorts returns the first of portsPerInstance ports that are free at all addresses.
func freePorts(ips []string) (int, error) {
	for range 100 {
		base := firstPort + portsPerInstance*rand.IntN((lastPort-firstPort)/portsPerInstance)
		if areFree(ips, base) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports between %d and %d", firstPort, lastPort)
}

func areFree(ips []string, base int) bool {
	for _, ip := range ips {
		for port := base; port < base+portsPerInstance; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (d *Deployment) addr(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, d.basePort+port)
}

func (d *Deployment) storeAddr() string { return d.addr(storeIP, storePort) }

// settingsOf returns the settings file of an entry, with the figures of a small site.
func (d *Deployment) settingsOf(e *Entry, seeds []string) string {
	var seedList []string
	for _, ip := range seeds {
		seedList = append(seedList, fmt.Sprintf("%q", d.addr(ip, controlPort)))
	}
	text := fmt.Sprintf("node = %q\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\",\"directory\",\"control\"]\n", e.Name)
	text += fmt.Sprintf("ip = %q\nzone = %q\nregion = %q\nportRange = [%d,%d]\n", e.ip, e.Zone, regionOf(e.Zone), d.basePort, d.basePort+portsPerInstance-1)
	text += fmt.Sprintf("seeds = [%s]\nbootstrap = true\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeatMs = 1200\n[zones]\n", strings.Join(seedList, ","))
	for _, zone := range Zones {
		text += fmt.Sprintf("%s = %q\n", zone, regionOf(zone))
	}
	text += fmt.Sprintf("[listen]\nfront = %q\nready = %q\ncontrol = %q\ndirectory = %q\n", e.Addr, d.addr(e.ip, readyPort), d.addr(e.ip, controlPort), d.addr(e.ip, directoryPort))
	text += "[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
	text += "[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
	text += "[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigMs = 2000\n" +
		"rollbackSlackMs = 250\nmaxSkewMs = 5000\nrevokeStrict = false\nrevokeMs = 5000\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 106\ncoldOvershoot = 1.5\n" +
		"coldSlack = 5\nevacuateMs = 5000\nrecoverS = 12\npassMs = 120\nretryAfterS = 0\nversion_ms = 8000\nversion_all_ms = 0\nttl_max_s = 5\n"
	return text + fmt.Sprintf("[platform]\naddress = %q\nform = \"table\"\nwritesPerS = 400\nreadsPerS = 2000\ntxMs = 5.0\nrowBytes = 65536\nhistoryS = 20\n", d.storeAddr())
}

// PutConfig writes the operators' configuration.
func (d *Deployment) PutConfig(config fleet.Configuration) { d.Store.PutConfig(config) }

// Start starts all entries and waits until they are ready.
func (d *Deployment) Start() error {
	for _, e := range d.Entries {
		if err := e.Start(); err != nil {
			return err
		}
	}
	return d.AwaitReady()
}

// AwaitReady waits until all entries are ready.
func (d *Deployment) AwaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, e := range d.Entries {
		for !standin.IsReady(d.addr(e.ip, readyPort)) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", e.Name, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Start starts the process.
func (e *Entry) Start() error {
	log, err := os.OpenFile(filepath.Join(e.deployment.dir, e.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(e.deployment.program, "gateway")
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"CURRANTUSHER_NODE_FILE=" + e.settings, "CURRANTUSHER_METRICS_LISTEN=" + e.deployment.addr(e.ip, metricsPort),
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		// The status of a process that was killed is of no interest.
		_ = command.Wait()
		close(exited)
	}()
	e.command, e.exited, e.StartedAt = command, exited, time.Now()
	return nil
}

// Kill ends the process with SIGKILL and waits for its end.
func (e *Entry) Kill() {
	if e.command == nil {
		return
	}
	// An error means that the process has ended.
	_ = e.command.Process.Kill()
	<-e.exited
}

// HasEnded reports whether the process has ended.
func (e *Entry) HasEnded() bool {
	select {
	case <-e.exited:
		return true
	default:
		return false
	}
}

// writeRows repeats the rows of the servers that run, as their heartbeats do.
func (d *Deployment) writeRows() {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-d.done:
			return
		case <-ticker.C:
		}
		for _, w := range d.Workers {
			w.writeRow()
		}
	}
}

// Close ends all processes and servers, and removes the temporary folder unless keep is set.
func (d *Deployment) Close(keep bool) {
	close(d.done)
	d.wait.Wait()
	for _, e := range d.Entries {
		e.Kill()
	}
	for _, w := range d.Workers {
		w.Stop()
	}
	_ = d.server.Close()
	if !keep {
		_ = os.RemoveAll(d.dir)
	}
}

// Dir returns the temporary folder, which holds the logs of the entries.
func (d *Deployment) Dir() string { return d.dir }
