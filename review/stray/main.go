// Command stray plays an entry of another writer in the platform's list of servers: some of
// the fields that each server writes are missing, so that it names no server to use. A process
// of another installation listens at its address. The command exits with 1 if that process got
// requests of callers to run.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/headers"
	"currantusher.dev/platform/records"
	"currantusher.dev/review/site"
)

const (
	service        = "fieldbook"
	host           = "fieldbook.example"
	lookupPath     = "/notices/"
	confirmPath    = "/confirm/"
	key            = "key-of-foremen"
	strayID        = "i-trial-1"
	timeout        = time.Second
	entriesPerZone = 3
	workersPerZone = 1
	soundPeriod    = 50 * time.Millisecond
	// settleTime is well above the operators' stableMs, and playTime the time with the stray
	// entry in the list.
	settleTime = 5 * time.Second
	playTime   = 15 * time.Second
)

type play struct {
	*site.Deployment

	mu sync.Mutex
	// ran holds the server that ran a request, by the request's id.
	ran                          map[string]string
	sent, served, strayRan       int
	strayUnsafe, strayAnswers    int
	unservedUnsafe, unservedSafe int
}

func main() { os.Exit(run()) }

func run() int {
	record, err := site.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	deployment, err := site.New(os.Args[2], entriesPerZone, record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	p := &play{Deployment: deployment, ran: map[string]string{}}
	var closeOnce sync.Once
	end := func() { closeOnce.Do(func() { p.Close(os.Getenv("KEEP") != "") }) }
	defer end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		end()
		os.Exit(2)
	}()
	if err := p.start(); err != nil {
		record.Add("cannot run: %v", err)
		fmt.Println(err)
		return 2
	}
	return p.play(os.Getenv("TROUBLE") != "0")
}

func (p *play) start() error {
	for i := range workersPerZone * len(site.Zones) {
		err := p.AddWorker(&site.Worker{
			ID: fmt.Sprintf("i-7f3a91c%d", i), Service: service, Zone: site.Zones[i%len(site.Zones)], Slots: 6,
			WorkTime: 15 * time.Millisecond, OnRun: p.onRun,
		})
		if err != nil {
			return err
		}
	}
	targets := []fleet.Target{{Service: service, Weight: 1}}
	p.PutConfig(fleet.Configuration{
		Version: 3,
		Routes: []fleet.Route{
			{Name: "notice-lookup", Host: host, Prefix: lookupPath, Kind: fleet.RouteSafe, Timeout: timeout, LatencyObjective: 100 * time.Millisecond,
				Priority: 2, Targets: targets, MaxAttempts: 2},
			{Name: "shutoff-confirm", Host: host, Prefix: confirmPath, Kind: fleet.RouteUnsafe, Timeout: timeout, LatencyObjective: 100 * time.Millisecond,
				Priority: 2, Targets: targets, MaxAttempts: 1},
		},
		Services: []fleet.Service{{Name: service, HealthPath: "/health", MaxConns: 110}},
		Limits:   fleet.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second},
		Teams:    []fleet.Team{{Name: "foremen", Keys: []string{key}}},
	})
	return p.Start()
}

// onRun is called when a server begins to run a request.
func (p *play) onRun(w *site.Worker, r *http.Request, _ []byte) (crashes bool) {
	id := r.Header.Get(headers.Names().RequestID)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ran[id] = w.ID
	if w.ID != strayID {
		return false
	}
	p.strayRan++
	if r.Method != http.MethodGet {
		p.strayUnsafe++
	}
	p.Record.Add("the process of the other installation runs %s %s, request %s of team %q", r.Method, r.URL.Path, id, r.Header.Get(headers.Names().Team))
	return false
}

// addStray starts the process of the other installation and writes its entry, which lacks the
// fields version, slots, seq and born, and the one for the cold time.
func (p *play) addStray() error {
	stray := &site.Worker{ID: strayID, Service: service, Zone: site.Zones[0], WorkTime: 15 * time.Millisecond, OnRun: p.onRun, Unlisted: true}
	if err := p.AddWorker(stray); err != nil {
		return err
	}
	row, err := json.Marshal(map[string]any{"service": service, "address": stray.Addr(), "zone": stray.Zone, "state": "ready"})
	if err != nil {
		return err
	}
	p.Store.Put(records.TableServers, strayID, row)
	p.Record.Add("another writer puts the entry %s: %s", strayID, row)
	return nil
}

func (p *play) call(i int) {
	method, path := http.MethodGet, fmt.Sprintf("%s%d", lookupPath, 10000+i)
	if i%2 == 0 {
		method, path = http.MethodPost, confirmPath+"2f"
	}
	entry := p.Entries[i%len(p.Entries)]
	id := fmt.Sprintf("9c41d07be2%06x", i)
	answer := site.Call{Entry: entry.Addr, ID: id, Method: method, Host: host, Path: path, Key: key, Deadline: timeout}.Send()
	isServed := answer.Err == nil && answer.Status == http.StatusOK
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	switch {
	case isServed:
		p.served++
	case method == http.MethodGet:
		p.unservedSafe++
	default:
		p.unservedUnsafe++
	}
	if p.ran[id] == strayID {
		isForeign := isServed && strings.Contains(string(answer.Body), strayID)
		if isForeign {
			p.strayAnswers++
		}
		p.Record.Add("request %s to %s: status %d, error %v, answer of the other installation %t", id, entry.Name, answer.Status, answer.Err, isForeign)
	}
}

func (p *play) play(isTrouble bool) int {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		var calls sync.WaitGroup
		defer calls.Wait()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(soundPeriod):
			}
			calls.Go(func() { p.call(i) })
		}
	})
	time.Sleep(settleTime)
	if isTrouble {
		if err := p.addStray(); err != nil {
			p.Record.Add("cannot run: %v", err)
			return 2
		}
	}
	time.Sleep(playTime)
	close(done)
	wait.Wait()
	p.Record.Add("%d requests sent, %d served; not served: %d safe, %d unsafe", p.sent, p.served, p.unservedSafe, p.unservedUnsafe)
	p.Record.Add("the process of the other installation ran %d requests, %d of them unsafe; %d of its answers reached callers as successes", p.strayRan, p.strayUnsafe, p.strayAnswers)
	fmt.Printf("requests run by the process of the other installation: %d (%d unsafe), its answers to callers: %d; bound 0\n", p.strayRan, p.strayUnsafe, p.strayAnswers)
	if p.strayRan > 0 {
		return 1
	}
	return 0
}
