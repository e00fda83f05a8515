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

// Prober measures, as a caller, when an edit that adds a route takes effect: an
// entry without the route refuses requests on it with unknown-route.
type Prober struct {
	Client *http.Client
	Team   core.Team
}

// probe sends one request on route and reports whether the entry has the route.
// When answered is false, routeKnown has no meaning and the probe must be
// repeated.
func (p *Prober) probe(ctx context.Context, entry string, route core.RouteName) (routeKnown, answered bool) {
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

// WaitForRoute waits until every entry has the route. It returns the time from
// start to the last of them, and the number of entries that were without the
// route again at the next probe.
func (p *Prober) WaitForRoute(ctx context.Context, entries []string, route core.RouteName, start time.Time) (time.Duration, int, error) {
	var mu sync.Mutex
	var longest time.Duration
	reverts := 0
	var lastErr error
	var wg sync.WaitGroup
	for _, entry := range entries {
		wg.Go(func() {
			elapsed, revertedHere, err := p.waitAtEntry(ctx, entry, route, start)
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, elapsed)
			if revertedHere {
				reverts++
			}
			if err != nil {
				lastErr = err
			}
		})
	}
	wg.Wait()
	return longest, reverts, lastErr
}

func (p *Prober) waitAtEntry(ctx context.Context, entry string, route core.RouteName, start time.Time) (time.Duration, bool, error) {
	for {
		routeKnown, _ := p.probe(ctx, entry, route)
		if routeKnown {
			break
		}
		select {
		case <-ctx.Done():
			return time.Since(start), false, ctx.Err()
		case <-time.After(probeInterval):
		}
	}
	elapsed := time.Since(start)
	time.Sleep(probeInterval)
	routeKnown, answered := p.probe(ctx, entry, route)
	return elapsed, answered && !routeKnown, nil
}
