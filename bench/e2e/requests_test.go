package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/standin/backend"
	"currantusher.dev/standin/engine"
)

const (
	prompt     = `{"prompt": "lettuce", "max_tokens": 8}`
	slowPrompt = `{"prompt": "long recall sheet", "max_tokens": 150}`
	slowTokens = 150
	settleTime = 400 * time.Millisecond
)

func requireWholeText(t *testing.T, got answer, root, body string, tokens int) {
	t.Helper()
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status, string(got.body))
	digest, err := core.ParseDigest(root)
	require.NoError(t, err)
	want, err := engine.ExpectedText([]byte(body), digest, tokens)
	require.NoError(t, err)
	var reply engine.Answer
	require.NoError(t, json.Unmarshal(got.body, &reply))
	require.Equal(t, want, reply.Text)
}

// sendMany sends n requests at once and returns their answers.
func (d *deployment) sendMany(entry, route string, n int, key func(int) string, body string) func() []answer {
	answers := make([]answer, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { answers[i] = d.send(context.Background(), entry, route, key(i), body) })
	}
	return func() []answer {
		group.Wait()
		return answers
	}
}

func noKey(int) string { return "" }

// warm sends requests until the agents let several run at once.
func (d *deployment) warm(route, body string) {
	d.eventually("warm", func() bool {
		answers := d.sendMany("entry-1", route, 4, func(i int) string { return fmt.Sprintf("warm-%d-%d", time.Now().UnixNano(), i) }, body)()
		for _, got := range answers {
			if !got.whole() {
				return false
			}
		}
		return true
	})
}

// TestProcessesServe carries requests of all kinds through separate processes
// and a second version of weights.
func TestProcessesServe(t *testing.T) {
	d := newDeployment(t)
	for _, content := range []string{"second version", "third version"} {
		root := d.publish(content)
		for entry := range d.entries {
			requireWholeText(t, d.send(t.Context(), entry, "labels", "", prompt), root, prompt, 8)
		}
	}
	first := d.send(t.Context(), "entry-1", "lots", "lot-1", `{"lot": 1}`)
	require.True(t, first.whole(), string(first.body))
	// The caller gets its answer before the result is committed; until then the
	// other entry says that the request is in progress.
	var again answer
	d.eventually("the result is stored", func() bool {
		again = d.send(t.Context(), "entry-2", "lots", "lot-1", `{"lot": 1}`)
		return again.problem.Code != int(core.CodeInProgress)
	})
	require.Equal(t, string(first.body), string(again.body), "the stored result")
	other := d.send(t.Context(), "entry-2", "lots", "lot-1", `{"lot": 2}`)
	require.Equal(t, int(core.CodeKeyReused), other.problem.Code)
}

// TestPlannedStopsCutNoRequest stops an entry and then an agent with requests
// in progress; each of these gets its whole answer.
func TestPlannedStopsCutNoRequest(t *testing.T) {
	d := newDeployment(t)
	root := d.pool().Weights.Or("")
	d.warm("labels", prompt)
	for _, leaving := range []string{"entry-1", "engine-1"} {
		entry := "entry-1"
		if leaving == "engine-1" {
			entry = "entry-2"
		}
		wait := d.sendMany(entry, "labels", 4, noKey, slowPrompt)
		d.eventually("requests run", func() bool {
			return d.state(d.backs["engine-1"]).Running+d.state(d.backs["engine-2"]).Running >= 2
		})
		require.NoError(t, d.daemons[leaving].Terminate())
		for _, got := range wait() {
			requireWholeText(t, got, root, slowPrompt, slowTokens)
		}
		exit, err := d.daemons[leaving].Wait(t.Context())
		require.NoError(t, err)
		require.Zero(t, exit)
	}
	requireWholeText(t, d.send(t.Context(), "entry-2", "labels", "", prompt), root, prompt, 8)
}

// TestAtMostOnceThroughKills kills and pauses agents and entries while requests
// that may not be repeated run, repeats each request until it has a final
// answer, and counts the runs at the services.
func TestAtMostOnceThroughKills(t *testing.T) {
	faults := map[string]func(d *deployment){
		"agent killed":  func(d *deployment) { d.daemons["service-1"].Kill() },
		"entry killed":  func(d *deployment) { d.daemons["entry-1"].Kill() },
		"agent paused":  func(d *deployment) { pauseFor(d, "service-1") },
		"entry paused":  func(d *deployment) { pauseFor(d, "entry-1") },
		"server killed": func(d *deployment) { d.servers["service-1"].Kill() },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.inject("service-1", `{"slow_factor": 20}`)
			d.inject("service-2", `{"slow_factor": 20}`)
			key := func(i int) string { return fmt.Sprintf("lot-%d", i) }
			wait := d.sendMany("entry-1", "lots", 4, key, `{"lot": 1}`)
			time.Sleep(settleTime)
			fault(d)
			answers := wait()
			for i, got := range answers {
				d.checkAtMostOnce(key(i), got)
			}
		})
	}
}

// pauseFor stops a process for longer than the configuration may age.
func pauseFor(d *deployment, name string) {
	require.NoError(d.t, d.daemons[name].Pause())
	time.Sleep(6 * time.Second)
	require.NoError(d.t, d.daemons[name].Resume())
}

func (d *deployment) runs(key string) int {
	total := 0
	for _, name := range []string{"service-1", "service-2"} {
		if !d.servers[name].Running() {
			continue
		}
		response, err := http.Get(d.backs[name] + "/runs?key=" + url.QueryEscape(backend.IdempotencyRunKey("aare", key)))
		require.NoError(d.t, err)
		var runs backend.RunCount
		err = json.NewDecoder(response.Body).Decode(&runs)
		_ = response.Body.Close()
		require.NoError(d.t, err)
		total += runs.Count
	}
	return total
}

// checkAtMostOnce compares an answer with the runs, then repeats the key.
func (d *deployment) checkAtMostOnce(key string, got answer) {
	runs := d.runs(key)
	require.LessOrEqual(d.t, runs, 1, "%s runs", key)
	if got.err == nil && got.status != http.StatusOK && got.problem.Work == "not-run" {
		require.Zero(d.t, runs, "%s was refused as not run", key)
	}
	again := d.repeat(key)
	require.LessOrEqual(d.t, d.runs(key), 1, "%s runs after its repeat", key)
	if got.whole() {
		require.Equal(d.t, 1, d.runsAnywhere(key, runs), "%s has an answer", key)
		require.Equal(d.t, string(got.body), string(again.body), "%s: a repeat gets the first result", key)
	}
}

// repeat sends a key again until the first request is no longer in progress.
func (d *deployment) repeat(key string) answer {
	var again answer
	d.eventually(key+" is no longer in progress", func() bool {
		again = d.send(context.Background(), "entry-2", "lots", key, `{"lot": 1}`)
		require.NoError(d.t, again.err)
		return again.whole() || again.problem.Code != int(core.CodeInProgress)
	})
	return again
}

// runsAnywhere returns the runs seen, or 1 when a service that was killed may
// have taken its count with it.
func (d *deployment) runsAnywhere(key string, seen int) int {
	if seen == 0 && !(d.servers["service-1"].Running() && d.servers["service-2"].Running()) {
		return 1
	}
	return d.runs(key)
}
