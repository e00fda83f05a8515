// Command configs plays a change of the operators' configuration and what callers send later
// than the time within which it has to be in force. Its first argument names the change:
// "tenants" takes the only team out, "heads" permits longer heads of requests. The command
// exits with 1 if requests are handled otherwise than the new configuration allows.
package main

import (
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
	"currantusher.dev/review/site"
)

const (
	service        = "fieldbook"
	host           = "fieldbook.example"
	lookupPath     = "/notices/"
	confirmPath    = "/confirm/"
	key            = "key-of-foremen"
	unknownKey     = "key-that-no-config-held"
	timeout        = time.Second
	entriesPerZone = 3
	workersPerZone = 1
	callPeriod     = 50 * time.Millisecond
	// settleTime is well above the operators' configMs and stableMs.
	settleTime = 5 * time.Second
	playTime   = 10 * time.Second
	// shortLimit and longLimit are the longest heads that the two configurations permit, and
	// shortHead and longHead those that callers send, in bytes.
	shortLimit, longLimit = 16384, 65536
	shortHead, longHead   = 12000, 30000
	// deniedSlack and deniedShare are the bound on wrong refusals: deniedSlack and one in
	// deniedShare of all requests.
	deniedSlack, deniedShare = 5, 500
)

type change struct {
	// after is the configuration after the change, and call what a caller sends then.
	after func(fleet.Configuration) fleet.Configuration
	call  func(p *play, i int, isChanged bool)
	// isBroken tells whether the rule is broken.
	isBroken func(p *play) bool
}

var changes = map[string]change{
	"tenants": {
		after:    func(c fleet.Configuration) fleet.Configuration { c.Teams = nil; return c },
		call:     func(p *play, i int, isChanged bool) { p.send(i, []string{key, unknownKey}[i%2], shortHead, isChanged) },
		isBroken: func(p *play) bool { return p.ranWithoutKey > 0 },
	},
	"heads": {
		after: func(c fleet.Configuration) fleet.Configuration { c.Limits.HeaderBytes = longLimit; return c },
		call: func(p *play, i int, isChanged bool) {
			size := shortHead
			if isChanged {
				size = longHead
			}
			p.send(i, key, size, isChanged)
		},
		isBroken: func(p *play) bool { return p.denied > deniedSlack+p.sent/deniedShare },
	},
}

type play struct {
	*site.Deployment

	mu sync.Mutex
	// isAllowed tells by a request's id whether its key was in a configuration that may be
	// in force.
	isAllowed                           map[string]bool
	sent, served, denied, ranWithoutKey int
	ran                                 int
}

func main() { os.Exit(run()) }

func run() int {
	c, ok := changes[os.Args[1]]
	if !ok {
		fmt.Println("unknown change", os.Args[1])
		return 2
	}
	record, err := site.NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	deployment, err := site.New(os.Args[3], entriesPerZone, record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	p := &play{Deployment: deployment, isAllowed: map[string]bool{}}
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
	config, err := p.start()
	if err != nil {
		record.Add("cannot run: %v", err)
		fmt.Println(err)
		return 2
	}
	return p.play(c, config, os.Getenv("TROUBLE") != "0")
}

func (p *play) start() (fleet.Configuration, error) {
	for i := range workersPerZone * len(site.Zones) {
		err := p.AddWorker(&site.Worker{
			ID: fmt.Sprintf("i-7f3a91c%d", i), Service: service, Zone: site.Zones[i%len(site.Zones)], Slots: 6,
			WorkTime: 15 * time.Millisecond, OnRun: p.onRun,
		})
		if err != nil {
			return fleet.Configuration{}, err
		}
	}
	targets := []fleet.Target{{Service: service, Weight: 1}}
	config := fleet.Configuration{
		Version: 3,
		Routes: []fleet.Route{
			{Name: "notice-lookup", Host: host, Prefix: lookupPath, Kind: fleet.RouteSafe, Timeout: timeout, LatencyObjective: 100 * time.Millisecond,
				Priority: 2, Targets: targets, MaxAttempts: 2},
			{Name: "shutoff-confirm", Host: host, Prefix: confirmPath, Kind: fleet.RouteUnsafe, Timeout: timeout, LatencyObjective: 100 * time.Millisecond,
				Priority: 2, Targets: targets, MaxAttempts: 1},
		},
		Services: []fleet.Service{{Name: service, HealthPath: "/health", MaxConns: 110}},
		Limits:   fleet.Limits{HeaderBytes: shortLimit, BodyBytes: 4194304, HeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second},
		Teams:    []fleet.Team{{Name: "foremen", Keys: []string{key}}},
	}
	p.PutConfig(config)
	return config, p.Start()
}

// onRun is called when a server begins to run a request.
func (p *play) onRun(w *site.Worker, r *http.Request, _ []byte) (crashes bool) {
	id := r.Header.Get(headers.Names().RequestID)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ran++
	if !p.isAllowed[id] {
		p.ranWithoutKey++
		p.Record.Add("server %s runs %s %s, request %s, for team %q, although its key is in no configuration that may be in force", w.ID, r.Method, r.URL.Path, id, r.Header.Get(headers.Names().Team))
	}
	return false
}

// send sends a request with a head of about size bytes.
func (p *play) send(i int, apiKey string, size int, isChanged bool) {
	method, path := http.MethodGet, fmt.Sprintf("%s%d", lookupPath, 10000+i)
	if i/2%2 == 0 {
		method, path = http.MethodPost, confirmPath+"2f"
	}
	entry := p.Entries[i%len(p.Entries)]
	id := fmt.Sprintf("9c41d07be2%06x", i)
	p.mu.Lock()
	p.isAllowed[id] = apiKey == key && !(isChanged && p.keysGone())
	p.mu.Unlock()
	answer := site.Call{
		Entry: entry.Addr, ID: id, Method: method, Host: host, Path: path, Key: apiKey, Deadline: timeout,
		Header: http.Header{"X-Trace": []string{strings.Repeat("t", size)}},
	}.Send()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	// The entry may reset the connection behind its refusal.
	isDenied := answer.Status >= http.StatusMultipleChoices && answer.Status < http.StatusInternalServerError
	switch {
	case answer.Err == nil && answer.Status == http.StatusOK:
		p.served++
	case isDenied && p.isAllowed[id]:
		p.denied++
	}
	if isChanged {
		p.Record.Add("request %s with a head of %d bytes and the key %q to %s: status %d, error %v", id, size, apiKey, entry.Name, answer.Status, answer.Err)
	}
}

// keysGone reports whether the change takes the keys away.
func (p *play) keysGone() bool { return os.Args[1] == "tenants" }

func (p *play) play(c change, config fleet.Configuration, isTrouble bool) int {
	var mu sync.Mutex
	isChanged := false
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		var calls sync.WaitGroup
		defer calls.Wait()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(callPeriod):
			}
			mu.Lock()
			changed := isChanged
			mu.Unlock()
			calls.Go(func() { c.call(p, i, changed) })
		}
	})
	time.Sleep(settleTime)
	if isTrouble {
		after := c.after(config)
		after.Version = 7
		p.PutConfig(after)
		p.Record.Add("the store acknowledges version %d of the configuration: limits %+v, %d teams", after.Version, after.Limits, len(after.Teams))
	}
	time.Sleep(settleTime)
	mu.Lock()
	isChanged = isTrouble
	mu.Unlock()
	p.Record.Add("callers go on, %v later", settleTime)
	time.Sleep(playTime)
	close(done)
	wait.Wait()
	p.Record.Add("%d requests sent, %d served, %d run", p.sent, p.served, p.ran)
	p.Record.Add("run although their keys were in no configuration that may be in force: %d; proper requests refused with 3xx or 4xx: %d (bound %d)", p.ranWithoutKey, p.denied, deniedSlack+p.sent/deniedShare)
	fmt.Printf("run without a valid key: %d (bound 0); proper requests refused with 3xx or 4xx: %d (bound %d)\n", p.ranWithoutKey, p.denied, deniedSlack+p.sent/deniedShare)
	if c.isBroken(p) {
		return 1
	}
	return 0
}
