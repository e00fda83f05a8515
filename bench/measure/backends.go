// Package measure collects the figures of a run at the callers and the
// stand-ins. None of them comes from the status or metrics of the system under
// test.
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

// Backend identifies one stand-in for a backend server.
type Backend struct {
	ID         core.InstanceID
	DataCentre core.DataCentre
	Kind       tables.PoolKind
	// URL is the base URL of the stand-in.
	URL string
}

const maxReplyBytes = 64 << 20

// Backends reads the counters of all stand-ins for backend servers over HTTP and
// sets their faults.
type Backends struct {
	Client *http.Client
	All    []Backend
}

func (b *Backends) callJSON(ctx context.Context, method, address string, body, reply any) error {
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
func (b *Backends) Counters(ctx context.Context, target Backend) (backend.Counters, error) {
	var counters backend.Counters
	err := b.callJSON(ctx, http.MethodGet, target.URL+"/counters", nil, &counters)
	return counters, err
}

// State reads the state that one stand-in reports to its agent.
func (b *Backends) State(ctx context.Context, target Backend) (backend.State, error) {
	var state backend.State
	err := b.callJSON(ctx, http.MethodGet, target.URL+"/v1/state", nil, &state)
	return state, err
}

// InjectFaults sets faults of one stand-in.
func (b *Backends) InjectFaults(ctx context.Context, target Backend, faults backend.Faults) error {
	return b.callJSON(ctx, http.MethodPost, target.URL+"/faults", faults, nil)
}

// CountRuns returns how often the request with this run key was started, summed
// over all stand-ins.
func (b *Backends) CountRuns(ctx context.Context, key string) (int, error) {
	total := 0
	for _, target := range b.All {
		var count backend.RunCount
		if err := b.callJSON(ctx, http.MethodGet, target.URL+"/runs?key="+url.QueryEscape(key), nil, &count); err != nil {
			return 0, err
		}
		total += count.Count
	}
	return total, nil
}

// MarkDataCentreOut sends the stand-ins of a data centre the time at which it
// was taken out. A zero time clears it.
func (b *Backends) MarkDataCentreOut(ctx context.Context, dataCentre core.DataCentre, since time.Time) error {
	mark := ""
	if !since.IsZero() {
		mark = since.Format(time.RFC3339Nano)
	}
	var errs error
	for _, target := range b.All {
		if target.DataCentre == dataCentre {
			err := b.InjectFaults(ctx, target, backend.Faults{DataCentreOutSince: &mark})
			errs = errors.Join(errs, err)
		}
	}
	return errs
}

// Totals holds the sums and maxima of the counters of all stand-ins.
type Totals struct {
	// Starts counts the requests that were started.
	Starts int
	// OverloadRestarts counts restarts of cold backend servers that were caused
	// by requests above their cold limit.
	OverloadRestarts int
	// PartialWeights counts runs on incomplete weights.
	PartialWeights int
	// StartsAfterOut counts starts later than OutGrace after the data centre was
	// taken out. LastStartAfterOutSeconds is the time from then until the last
	// start in a data centre that is out.
	StartsAfterOut           int
	LastStartAfterOutSeconds float64
	// MaxRuns is the highest number of runs of one Idempotency-Key, summed over
	// all stand-ins.
	MaxRuns int
	// Unreachable counts stand-ins whose counters could not be read.
	Unreachable int
}

// Totals reads the counters of all stand-ins.
func (b *Backends) Totals(ctx context.Context) Totals {
	var totals Totals
	runs := make(map[string]int)
	for _, target := range b.All {
		counters, err := b.Counters(ctx, target)
		var keyed map[string]int
		if err == nil {
			err = b.callJSON(ctx, http.MethodGet, target.URL+"/runs/keyed", nil, &keyed)
		}
		if err != nil {
			totals.Unreachable++
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
	t.OverloadRestarts += c.OverloadRestarts
	t.PartialWeights += c.PartialWeights
	t.StartsAfterOut += c.StartsAfterOut
	t.LastStartAfterOutSeconds = max(t.LastStartAfterOutSeconds, c.LastStartAfterOutSeconds)
}

// EnginesWithVersion counts the engines that report root as their weights, and
// all engines.
func (b *Backends) EnginesWithVersion(ctx context.Context, root core.Digest) (matching, engines int) {
	for _, target := range b.All {
		if target.Kind != tables.PoolEngine {
			continue
		}
		engines++
		state, err := b.State(ctx, target)
		if err == nil && state.Weights == root.String() {
			matching++
		}
	}
	return matching, engines
}
