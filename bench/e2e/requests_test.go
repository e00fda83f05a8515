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
	prompt            = `{"prompt": "lettuce", "max_tokens": 8}`
	slowPrompt        = `{"prompt": "long recall sheet", "max_tokens": 150}`
	slowTokens        = 150
	requestStartDelay = 400 * time.Millisecond
)

func requireWholeAnswer(t *testing.T, got requestResult, root, body string, tokens int) {
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

// sendMany sends n concurrent requests. The returned function waits for their
// answers.
func (d *deployment) sendMany(entry, route string, n int, key func(int) string, body string) func() []requestResult {
	answers := make([]requestResult, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { answers[i] = d.send(context.Background(), entry, route, key(i), body) })
	}
	return func() []requestResult {
		group.Wait()
		return answers
	}
}

func noKey(int) string { return "" }

// warmUp sends requests until the agents admit 4 of them concurrently.
func (d *deployment) warmUp(route, body string) {
	d.waitUntil("concurrent requests are answered", func() bool {
		answers := d.sendMany("entry-1", route, 4, func(i int) string { return fmt.Sprintf("warm-%d-%d", time.Now().UnixNano(), i) }, body)()
		for _, got := range answers {
			if !got.isWhole() {
				return false
			}
		}
		return true
	})
}

// TestProcessesServe sends requests of all kinds through separate processes, to
// two versions of weights that are published one after the other.
func TestProcessesServe(t *testing.T) {
	d := newDeployment(t)
	for _, content := range []string{"second version", "third version"} {
		root := d.publish(content)
		for entry := range d.entryURLs {
			requireWholeAnswer(t, d.send(t.Context(), entry, "labels", "", prompt), root, prompt, 8)
		}
	}
	first := d.send(t.Context(), "entry-1", "lots", "lot-1", `{"lot": 1}`)
	require.True(t, first.isWhole(), string(first.body))
	// The caller receives the answer before its result is committed. Until then
	// the second entry refuses the repeated request with in-progress.
	var repeated requestResult
	d.waitUntil("the repeated request is no longer in progress", func() bool {
		repeated = d.send(t.Context(), "entry-2", "lots", "lot-1", `{"lot": 1}`)
		return repeated.problem.Code != int(core.CodeInProgress)
	})
	require.Equal(t, string(first.body), string(repeated.body), "the stored result")
	other := d.send(t.Context(), "entry-2", "lots", "lot-1", `{"lot": 2}`)
	require.Equal(t, int(core.CodeKeyReused), other.problem.Code)
}

// TestPlannedStopsCutNoRequest stops an entry and then an agent gracefully while
// requests are in progress. Each request must get its complete answer.
func TestPlannedStopsCutNoRequest(t *testing.T) {
	d := newDeployment(t)
	root := d.modelPool().Weights.Or("")
	d.warmUp("labels", prompt)
	for _, stopped := range []string{"entry-1", "engine-1"} {
		entry := "entry-1"
		if stopped == "engine-1" {
			entry = "entry-2"
		}
		waitForAnswers := d.sendMany(entry, "labels", 4, noKey, slowPrompt)
		d.waitUntil("at least 2 requests run", func() bool {
			return d.engineState(d.backendURLs["engine-1"]).Running+d.engineState(d.backendURLs["engine-2"]).Running >= 2
		})
		require.NoError(t, d.daemons[stopped].Terminate())
		for _, got := range waitForAnswers() {
			requireWholeAnswer(t, got, root, slowPrompt, slowTokens)
		}
		exit, err := d.daemons[stopped].Wait(t.Context())
		require.NoError(t, err)
		require.Zero(t, exit)
	}
	requireWholeAnswer(t, d.send(t.Context(), "entry-2", "labels", "", prompt), root, prompt, 8)
}

// TestAtMostOnceThroughKills kills or pauses an agent, an entry or a backend
// server while at-most-once requests run. It then repeats each request until it
// has a final answer, and checks the number of runs at the services. A result that
// was stored before the fault must be kept.
func TestAtMostOnceThroughKills(t *testing.T) {
	faults := map[string]func(d *deployment){
		"agent killed":  func(d *deployment) { d.daemons["service-1"].Kill() },
		"entry killed":  func(d *deployment) { d.daemons["entry-1"].Kill() },
		"agent paused":  func(d *deployment) { pausePastConfigMaxAge(d, "service-1") },
		"entry paused":  func(d *deployment) { pausePastConfigMaxAge(d, "entry-1") },
		"server killed": func(d *deployment) { d.backendProcesses["service-1"].Kill() },
	}
	for name, injectFault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.injectFaults("service-1", `{"slow_factor": 20}`)
			d.injectFaults("service-2", `{"slow_factor": 20}`)
			var first requestResult
			d.waitUntil("a request is answered", func() bool {
				first = d.send(t.Context(), "entry-1", "lots", "lot-stored", `{"lot": 1}`)
				return first.isWhole()
			})
			require.Equal(t, string(first.body), string(d.resendUntilDone("lot-stored").body))
			key := func(i int) string { return fmt.Sprintf("lot-%d", i) }
			waitForAnswers := d.sendMany("entry-1", "lots", 4, key, `{"lot": 1}`)
			time.Sleep(requestStartDelay)
			injectFault(d)
			answers := waitForAnswers()
			for i, got := range answers {
				d.checkAtMostOnce(key(i), got)
			}
			require.Equal(t, string(first.body), string(d.resendUntilDone("lot-stored").body), "the stored result")
		})
	}
}

// pausePastConfigMaxAge pauses a daemon for longer than the maximum age of the
// configuration.
func pausePastConfigMaxAge(d *deployment, name string) {
	require.NoError(d.t, d.daemons[name].Pause())
	time.Sleep(6 * time.Second)
	require.NoError(d.t, d.daemons[name].Resume())
}

// TestEntryKilledBetweenAnswerAndResultRow kills an entry that has answered an
// at-most-once request while a slow store holds the result back.
func TestEntryKilledBetweenAnswerAndResultRow(t *testing.T) {
	d := newDeployment(t)
	d.injectFaults("service-1", `{"slow_factor": 100}`)
	d.injectFaults("service-2", `{"slow_factor": 100}`)
	waitForAnswer := d.sendMany("entry-1", "lots", 1, func(int) string { return "lot" }, `{"lot": 1}`)
	d.waitUntil("the request runs", func() bool { return d.countRuns("lot") == 1 })
	d.injectStoreFaults(`{"slow_millis": 1000}`)
	got := waitForAnswer()[0]
	d.daemons["entry-1"].Kill()
	d.injectStoreFaults(`{}`)
	require.True(t, got.isWhole(), string(got.body))
	repeated := d.resendUntilDone("lot")
	t.Logf("the repeat got %d %s", repeated.problem.Code, repeated.problem.Name)
	d.requireFirstResultOrUnknown("lot", got, repeated)
	require.Equal(t, 1, d.countRuns("lot"))
}

// requireFirstResultOrUnknown checks the repeat of an answered request whose entry
// was killed. Its result is lost if the entry had not stored it yet.
func (d *deployment) requireFirstResultOrUnknown(key string, got, repeated requestResult) {
	if repeated.isWhole() {
		require.Equal(d.t, string(got.body), string(repeated.body), "%s: a repeat gets the first result", key)
		return
	}
	require.Equal(d.t, int(core.CodeOutcomeUnknown), repeated.problem.Code, "%s: %s", key, repeated.body)
	require.Equal(d.t, "unknown", string(repeated.problem.Work), "%s: %s", key, repeated.body)
}

func (d *deployment) countRuns(key string) int {
	total := 0
	for _, name := range []string{"service-1", "service-2"} {
		if !d.backendProcesses[name].Running() {
			continue
		}
		response, err := http.Get(d.backendURLs[name] + "/runs?key=" + url.QueryEscape(backend.IdempotencyRunKey("aare", key)))
		require.NoError(d.t, err)
		var runs backend.RunCount
		err = json.NewDecoder(response.Body).Decode(&runs)
		_ = response.Body.Close()
		require.NoError(d.t, err)
		total += runs.Count
	}
	return total
}

// checkAtMostOnce compares the result of a request with its number of runs, then
// repeats the request with the same key and checks the number again.
func (d *deployment) checkAtMostOnce(key string, got requestResult) {
	runs := d.countRuns(key)
	require.LessOrEqual(d.t, runs, 1, "%s runs", key)
	if got.err == nil && got.status != http.StatusOK && got.problem.Work == "not-run" {
		require.Zero(d.t, runs, "%s was refused as not run", key)
	}
	repeated := d.resendUntilDone(key)
	require.LessOrEqual(d.t, d.countRuns(key), 1, "%s runs after its repeat", key)
	if got.isWhole() {
		require.Equal(d.t, 1, d.runsIncludingKilled(key, runs), "%s has an answer", key)
		if !d.daemons["entry-1"].Running() {
			d.requireFirstResultOrUnknown(key, got, repeated)
			return
		}
		require.Equal(d.t, string(got.body), string(repeated.body), "%s: a repeat gets the first result", key)
	}
}

// resendUntilDone repeats the request with the key until it is no longer in
// progress.
func (d *deployment) resendUntilDone(key string) requestResult {
	var repeated requestResult
	d.waitUntil(key+" is no longer in progress", func() bool {
		repeated = d.send(context.Background(), "entry-2", "lots", key, `{"lot": 1}`)
		require.NoError(d.t, repeated.err)
		return repeated.isWhole() || repeated.problem.Code != int(core.CodeInProgress)
	})
	return repeated
}

// runsIncludingKilled returns the number of runs of the key. It returns 1 when
// none was counted but a service was killed, as the count of that service is
// lost.
func (d *deployment) runsIncludingKilled(key string, counted int) int {
	if counted == 0 && !(d.backendProcesses["service-1"].Running() && d.backendProcesses["service-2"].Running()) {
		return 1
	}
	return d.countRuns(key)
}
