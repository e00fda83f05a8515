// Command quarantine plays a request that crashes the servers which run it, before and after
// all entries were killed at the same moment. It exits with 1 if the request reached servers
// in more than three retries that machines in touch had sent.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
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
	deadlyPath     = lookupPath + "7731?street=elm"
	deadlyKey      = "key-of-county"
	soundKey       = "key-of-foremen"
	lookupTimeout  = time.Second
	entriesPerZone = 3
	workersPerZone = 2
	// backAfter is the time after which a crashed worker is back.
	backAfter = 3 * time.Second
	// deadlyPeriod is the time between two deadly requests, and soundPeriod between two sound ones.
	deadlyPeriod = 1500 * time.Millisecond
	soundPeriod  = 50 * time.Millisecond
	// killedFor is the time after which the platform starts a killed process again.
	killedFor = 500 * time.Millisecond
	// settleTime is well above the operators' stableMs.
	settleTime = 5 * time.Second
	// maxRetries is the bound of the rule, and crashesBefore the crashes before it applies.
	maxRetries, crashesBefore = 3, 3
	laterRounds               = 10
	// atOnce is the number of machines at which the request comes at once.
	atOnce = 2
)

// arrival is a deadly request that a worker began to run.
type arrival struct {
	at      time.Time
	id      string
	inTouch bool
}

type play struct {
	*site.Deployment

	mu       sync.Mutex
	arrivals []arrival
	nextID   int
	sentBy   map[string]*site.Entry
	served   int
	unserved int
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
	p := &play{Deployment: deployment, sentBy: map[string]*site.Entry{}}
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
			{Name: "notice-lookup", Host: host, Prefix: lookupPath, Kind: fleet.RouteSafe, Timeout: lookupTimeout, LatencyObjective: 100 * time.Millisecond,
				Priority: 2, Targets: targets, MaxAttempts: 2},
			{Name: "shutoff-confirm", Host: host, Prefix: confirmPath, Kind: fleet.RouteUnsafe, Timeout: lookupTimeout, LatencyObjective: 100 * time.Millisecond,
				Priority: 2, Targets: targets, MaxAttempts: 1},
		},
		Services: []fleet.Service{{Name: service, HealthPath: "/health", MaxConns: 110}},
		Limits:   fleet.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second},
		Teams: []fleet.Team{
			{Name: "county", Keys: []string{deadlyKey}}, {Name: "foremen", Keys: []string{soundKey}},
		},
	})
	return p.Start()
}

// onRun is called when a worker begins to run a request.
func (p *play) onRun(w *site.Worker, r *http.Request, _ []byte) (crashes bool) {
	if r.URL.RequestURI() != deadlyPath || r.Header.Get(headers.Names().Team) != "county" {
		return false
	}
	id := r.Header.Get(headers.Names().RequestID)
	now := time.Now()
	p.mu.Lock()
	entry := p.sentBy[id]
	a := arrival{at: now, id: id, inTouch: entry != nil && now.Sub(entry.StartedAt) > site.StableTime}
	p.arrivals = append(p.arrivals, a)
	count := len(p.arrivals)
	p.mu.Unlock()
	p.Record.Add("worker %s begins the deadly request %s and crashes (arrival %d, sender in touch %t)", w.ID, id, count, a.inTouch)
	w.CrashFor(backAfter)
	return true
}

// send sends a request to an entry and repeats a safe one once, as callers do.
func (p *play) send(entryIndex int, method, path, key string, isDeadly bool) site.Answer {
	deadline := time.Now().Add(lookupTimeout)
	var answer site.Answer
	for try := range 2 {
		entry := p.Entries[(entryIndex+try)%len(p.Entries)]
		p.mu.Lock()
		p.nextID++
		id := fmt.Sprintf("9c41d07be2%06x", p.nextID)
		if isDeadly {
			p.sentBy[id] = entry
		}
		p.mu.Unlock()
		answer = site.Call{Entry: entry.Addr, ID: id, Method: method, Host: host, Path: path, Key: key, Deadline: max(time.Until(deadline), time.Millisecond)}.Send()
		if isDeadly {
			p.Record.Add("deadly request %s to %s: status %d, error %v", id, entry.Name, answer.Status, answer.Err)
		}
		isSafe := method == http.MethodGet
		if answer.Err == nil && answer.Status < http.StatusInternalServerError || !isSafe || time.Until(deadline) < 100*time.Millisecond || isDeadly && answer.Status == http.StatusServiceUnavailable {
			return answer
		}
	}
	return answer
}

// callSoundly sends sound requests until done is closed.
func (p *play) callSoundly(done chan struct{}) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(soundPeriod):
		}
		wait.Go(func() {
			method, path := http.MethodGet, fmt.Sprintf("%s%d", lookupPath, 10000+i)
			if i%3 == 0 {
				method, path = http.MethodPost, confirmPath+"2f"
			}
			answer := p.send(i, method, path, []string{soundKey, deadlyKey}[i%2], false)
			p.mu.Lock()
			defer p.mu.Unlock()
			if answer.Err == nil && answer.Status == http.StatusOK {
				p.served++
			} else {
				p.unserved++
			}
		})
	}
}

func (p *play) arrivalCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.arrivals)
}

// judge returns the retries of the deadly request that count: those that reached workers, from
// machines in touch, later than stableMs after the third crash.
func (p *play) judge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.arrivals) < crashesBefore {
		return 0
	}
	from := p.arrivals[crashesBefore-1].at.Add(site.StableTime)
	count := 0
	for _, a := range p.arrivals {
		if a.inTouch && a.at.After(from) {
			count++
		}
	}
	return count
}

func (p *play) play(isTrouble bool) int {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() { p.callSoundly(done) })
	defer wait.Wait()
	defer close(done)
	time.Sleep(settleTime)
	round := 0
	// The request comes at count machines at once, others each time.
	sendDeadly := func(count int) {
		var sent sync.WaitGroup
		for range count {
			at := round
			round += 2
			sent.Go(func() { p.send(at, http.MethodGet, deadlyPath, deadlyKey, true) })
		}
		sent.Wait()
	}
	for tries := 0; p.arrivalCount() < crashesBefore && tries < 10; tries++ {
		sendDeadly(1)
		time.Sleep(deadlyPeriod)
	}
	if p.arrivalCount() < crashesBefore {
		p.Record.Add("cannot run: the deadly request has crashed too few workers")
		return 2
	}
	time.Sleep(settleTime)
	p.Record.Add("the deadly request comes again, before any disruption of entries")
	for range len(p.Entries) {
		sendDeadly(atOnce)
		time.Sleep(100 * time.Millisecond)
	}
	p.Record.Add("retries that count so far: %d", p.judge())
	if isTrouble {
		p.Record.Add("all entries are killed")
		var killed sync.WaitGroup
		for _, e := range p.Entries {
			killed.Go(e.Kill)
		}
		killed.Wait()
		time.Sleep(killedFor)
		for _, e := range p.Entries {
			if err := e.Start(); err != nil {
				p.Record.Add("cannot run: %v", err)
				return 2
			}
		}
		if err := p.AwaitReady(); err != nil {
			p.Record.Add("cannot run: %v", err)
			return 2
		}
		p.Record.Add("all entries are ready again")
	}
	time.Sleep(settleTime)
	p.Record.Add("the deadly request comes again")
	for range laterRounds {
		sendDeadly(atOnce)
		time.Sleep(deadlyPeriod)
	}
	count := p.judge()
	p.mu.Lock()
	served, unserved := p.served, p.unserved
	p.mu.Unlock()
	p.Record.Add("sound requests: %d served, %d not", served, unserved)
	p.Record.Add("retries that reached workers, from machines in touch, later than %v after the third crash: %d (bound %d)", site.StableTime, count, maxRetries)
	fmt.Printf("retries that count: %d, bound %d\n", count, maxRetries)
	if count > maxRetries {
		return 1
	}
	return 0
}
