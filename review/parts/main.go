// Command parts plays a part of prompts that crashes each server which begins to write an answer
// on it. The prompts have many parts, of which callers share all but the last one. The command
// exits with 1 if more requests with that part reached servers than the rule permits.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/headers"
	"currantusher.dev/review/site"
)

const (
	service        = "scribe"
	model          = "daka510000"
	host           = "scribe.example"
	path           = "/drafts/"
	key            = "key-of-foremen"
	timeout        = 6 * time.Second
	entriesPerZone = 3
	workersPerZone = 4
	slots          = 16
	backAfter      = 3 * time.Second
	deadlyPart     = "91bd3f06"
	// defaultParts is the number of parts of each prompt, the last one included, which belongs to
	// the request alone. PARTS replaces it.
	defaultParts = 20
	soundPeriod  = 100 * time.Millisecond
	deadlyPeriod = 700 * time.Millisecond
	settleTime   = 5 * time.Second
	playTime     = 35 * time.Second
	// crashesBefore and maxRequests are those of the rule.
	crashesBefore, maxRequests = 5, 3
)

type play struct {
	*site.Deployment
	parts     int
	isTrouble bool

	mu            sync.Mutex
	arrivals      []time.Time
	nextID        int
	served        int
	unserved      int
	deadlySent    int
	deadlyRefused int
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
	p := &play{Deployment: deployment, parts: defaultParts, isTrouble: os.Getenv("TROUBLE") != "0"}
	if n, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		p.parts = n
	}
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
	return p.play()
}

func (p *play) start() error {
	for i := range workersPerZone * len(site.Zones) {
		err := p.AddWorker(&site.Worker{
			ID: fmt.Sprintf("i-7f3a91%02d", i), Service: service, Zone: site.Zones[i%len(site.Zones)], Slots: slots, Model: model,
			WorkTime: 30 * time.Millisecond, OnRun: p.onRun,
		})
		if err != nil {
			return err
		}
	}
	p.PutConfig(fleet.Configuration{
		Version: 3,
		Routes: []fleet.Route{{
			Name: "hanger-draft", Host: host, Prefix: path, Kind: fleet.RouteStreaming, Timeout: timeout, LatencyObjective: 400 * time.Millisecond,
			GapObjective: 300 * time.Millisecond, Priority: 1, Targets: []fleet.Target{{Service: service, Weight: 1}}, MaxAttempts: 2, Resumable: true,
		}},
		Services: []fleet.Service{{
			Name: service, HealthPath: "/health", MaxConns: 434,
			Engine: &fleet.Engine{Slots: slots, Models: []fleet.Model{model}, Pieces: 64, PieceBytes: 32768},
		}},
		Limits: fleet.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second},
		Teams:  []fleet.Team{{Name: "foremen", Keys: []string{key}}},
	})
	return p.Start()
}

// prompt returns the list of the parts of a prompt. All requests share the parts but the last one
// and, in those that are not deadly, the third one.
func (p *play) prompt(id string, isDeadly bool) string {
	list := make([]string, p.parts)
	for i := range list {
		list[i] = fmt.Sprintf("5c1e%04x:60", i)
	}
	if isDeadly {
		list[2] = deadlyPart + ":60"
	}
	list[len(list)-1] = id + ":90"
	return strings.Join(list, ",")
}

// onRun is called when a server begins to write an answer.
func (p *play) onRun(w *site.Worker, r *http.Request, _ []byte) (crashes bool) {
	names := headers.Names()
	if !slices.Contains(strings.Split(r.Header.Get(names.PromptParts), ","), deadlyPart+":60") {
		return false
	}
	p.mu.Lock()
	p.arrivals = append(p.arrivals, time.Now())
	count := len(p.arrivals)
	p.mu.Unlock()
	p.Record.Add("server %s begins request %s with the part %s (arrival %d), crashes %t", w.ID, r.Header.Get(names.RequestID), deadlyPart, count, p.isTrouble)
	if p.isTrouble {
		w.CrashFor(backAfter)
	}
	return p.isTrouble
}

// call sends a request, and once more if it fails.
func (p *play) call(i int, isDeadly bool) {
	deadline := time.Now().Add(timeout)
	names := headers.Names()
	isServed := false
	for try := range 2 {
		entry := p.Entries[(i+try)%len(p.Entries)]
		p.mu.Lock()
		p.nextID++
		id := fmt.Sprintf("9c41d07be2%06x", p.nextID)
		p.mu.Unlock()
		answer := site.Call{
			Entry: entry.Addr, ID: id, Method: http.MethodPost, Host: host, Path: path + "2f", Key: key, Deadline: time.Until(deadline),
			Body:   []byte("draft " + id),
			Header: http.Header{names.Model: {model}, names.TokenCounts: {fmt.Sprintf("%d,80", 60*p.parts)}, names.PromptParts: {p.prompt(id, isDeadly)}},
		}.Send()
		isServed = answer.Err == nil && answer.Status == http.StatusOK && strings.Contains(string(answer.Body), "id: 6\n")
		if isDeadly {
			p.Record.Add("request %s with the part %s to %s: status %d, error %v", id, deadlyPart, entry.Name, answer.Status, answer.Err)
		}
		if isServed || answer.Status == http.StatusServiceUnavailable {
			if isDeadly && !isServed {
				p.mu.Lock()
				p.deadlyRefused++
				p.mu.Unlock()
			}
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case isDeadly:
		p.deadlySent++
	case isServed:
		p.served++
	default:
		p.unserved++
	}
}

// every calls send once per period until done is closed.
func every(period time.Duration, done chan struct{}, send func(i int)) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(period):
		}
		wait.Go(func() { send(i) })
	}
}

func (p *play) play() int {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() { every(soundPeriod, done, func(i int) { p.call(i, false) }) })
	time.Sleep(settleTime)
	wait.Go(func() { every(deadlyPeriod, done, func(i int) { p.call(4*i, true) }) })
	time.Sleep(playTime)
	close(done)
	wait.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	if p.isTrouble && len(p.arrivals) >= crashesBefore {
		from := p.arrivals[crashesBefore-1].Add(site.StableTime)
		for _, at := range p.arrivals {
			if at.After(from) {
				late++
			}
		}
	}
	p.Record.Add("prompts of %d parts; sound requests: %d served, %d not; with the part: %d sent, %d refused at once", p.parts, p.served, p.unserved, p.deadlySent, p.deadlyRefused)
	p.Record.Add("requests with the part that began at servers: %d; later than %v after the fifth crash: %d (bound %d)", len(p.arrivals), site.StableTime, late, maxRequests)
	fmt.Printf("requests with the part that began at servers: %d; that count: %d (bound %d)\n", len(p.arrivals), late, maxRequests)
	if late > maxRequests {
		return 1
	}
	return 0
}
