// Package measure gathers the users' measures at callers and stand-ins. None
// of its figures comes from the system's own opinion of itself.
package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/standin/backend"
	"currantusher.dev/tables"
)

// Backend is the bench's side of one stand-in for a backend server.
type Backend struct {
	ID         core.InstanceID
	DataCentre core.DataCentre
	Kind       tables.PoolKind
	// URL is the base URL of the stand-in.
	URL string
}

const maxReplyBytes = 64 << 20

// Backends reads and switches all stand-ins of backend servers over HTTP.
type Backends struct {
	Client *http.Client
	All    []Backend
}

func (b *Backends) call(ctx context.Context, method, address string, body, reply any) error {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, address, content)
	if err != nil {
		return err
	}
	response, err := b.Client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s: status %d: %s", method, address, response.StatusCode, answer)
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(answer, reply)
}

// Counters reads one stand-in's counters.
func (b *Backends) Counters(ctx context.Context, one Backend) (backend.Counters, error) {
	var counters backend.Counters
	err := b.call(ctx, http.MethodGet, one.URL+"/counters", nil, &counters)
	return counters, err
}

// State reads what one stand-in reports to its agent.
func (b *Backends) State(ctx context.Context, one Backend) (backend.State, error) {
	var state backend.State
	err := b.call(ctx, http.MethodGet, one.URL+"/v1/state", nil, &state)
	return state, err
}

// Inject switches faults of one stand-in.
func (b *Backends) Inject(ctx context.Context, one Backend, faults backend.Faults) error {
	return b.call(ctx, http.MethodPost, one.URL+"/faults", faults, nil)
}

// Runs returns how often the request with this key started at all stand-ins.
func (b *Backends) Runs(ctx context.Context, key string) (int, error) {
	sum := 0
	for _, one := range b.All {
		var count backend.RunCount
		if err := b.call(ctx, http.MethodGet, one.URL+"/runs?key="+url.QueryEscape(key), nil, &count); err != nil {
			return 0, err
		}
		sum += count.Count
	}
	return sum, nil
}

// MarkOut tells the stand-ins of a data centre when operators took it out. A
// zero time clears the mark.
func (b *Backends) MarkOut(ctx context.Context, dataCentre core.DataCentre, since time.Time) error {
	mark := ""
	if !since.IsZero() {
		mark = since.Format(time.RFC3339Nano)
	}
	var failed error
	for _, one := range b.All {
		if one.DataCentre == dataCentre {
			err := b.Inject(ctx, one, backend.Faults{DataCentreOutSince: &mark})
			failed = errors.Join(failed, err)
		}
	}
	return failed
}

// Totals are the sums and maxima over all stand-ins.
type Totals struct {
	Starts                   int
	FellOver                 int
	PartialWeights           int
	StartsAfterOut           int
	LastStartAfterOutSeconds float64
	// MaxRuns is the highest number of runs of one Idempotency-Key, at all
	// stand-ins together.
	MaxRuns int
	// Unread counts stand-ins that did not answer.
	Unread int
}

// Totals reads all stand-ins.
func (b *Backends) Totals(ctx context.Context) Totals {
	var totals Totals
	runs := make(map[string]int)
	for _, one := range b.All {
		counters, err := b.Counters(ctx, one)
		var keyed map[string]int
		if err == nil {
			err = b.call(ctx, http.MethodGet, one.URL+"/runs/keyed", nil, &keyed)
		}
		if err != nil {
			totals.Unread++
			continue
		}
		totals.add(counters)
		for key, count := range keyed {
			runs[key] += count
			totals.MaxRuns = max(totals.MaxRuns, runs[key])
		}
	}
	return totals
}

func (t *Totals) add(c backend.Counters) {
	t.Starts += c.Starts
	t.FellOver += c.OverloadRestarts
	t.PartialWeights += c.PartialWeights
	t.StartsAfterOut += c.StartsAfterOut
	t.LastStartAfterOutSeconds = max(t.LastStartAfterOutSeconds, c.LastStartAfterOutSeconds)
}

// EnginesOn counts the engines whose state names the root digest.
func (b *Backends) EnginesOn(ctx context.Context, root core.Digest) (carrying, engines int) {
	for _, one := range b.All {
		if one.Kind != tables.PoolEngine {
			continue
		}
		engines++
		state, err := b.State(ctx, one)
		if err == nil && state.Weights == root.String() {
			carrying++
		}
	}
	return carrying, engines
}
