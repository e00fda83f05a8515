package measure

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"currantusher.dev/api/oas"
	"currantusher.dev/core"
)

const (
	probeInterval = 50 * time.Millisecond
	probeTimeout  = 2 * time.Second
	probeBody     = `{"prompt":"probe","max_tokens":1}`
)

// Prober watches from a caller's place when an edit that adds a route takes
// hold: an entry that does not know the route yet refuses with unknown-route.
type Prober struct {
	Client *http.Client
	Team   core.Team
}

// knows sends one request on route and reports whether the entry knows it. An
// entry that does not answer is asked again by the caller of knows.
func (p *Prober) knows(ctx context.Context, entry string, route core.RouteName) (known, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/requests/"+string(route), strings.NewReader(probeBody))
	if err != nil {
		return false, false
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Team", string(p.Team))
	response, err := p.Client.Do(request)
	if err != nil {
		return false, false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return false, false
	}
	if response.StatusCode == http.StatusOK {
		return true, true
	}
	var problem oas.Problem
	if err := json.Unmarshal(body, &problem); err != nil {
		return false, false
	}
	return core.Code(problem.Code) != core.CodeUnknownRoute, true
}

// Watch returns how long after start each of the entries knew the route, as
// the longest of all, and how many of them forgot it again right after.
func (p *Prober) Watch(ctx context.Context, entries []string, route core.RouteName, start time.Time) (time.Duration, int, error) {
	var mu sync.Mutex
	var longest time.Duration
	reverts := 0
	var failed error
	var wg sync.WaitGroup
	for _, entry := range entries {
		wg.Go(func() {
			took, reverted, err := p.watchOne(ctx, entry, route, start)
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, took)
			if reverted {
				reverts++
			}
			if err != nil {
				failed = err
			}
		})
	}
	wg.Wait()
	return longest, reverts, failed
}

func (p *Prober) watchOne(ctx context.Context, entry string, route core.RouteName, start time.Time) (time.Duration, bool, error) {
	for {
		known, _ := p.knows(ctx, entry, route)
		if known {
			break
		}
		select {
		case <-ctx.Done():
			return time.Since(start), false, ctx.Err()
		case <-time.After(probeInterval):
		}
	}
	took := time.Since(start)
	time.Sleep(probeInterval)
	known, answered := p.knows(ctx, entry, route)
	return took, answered && !known, nil
}
