package e2e

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

// TestStorePausedKeepsServing pauses the store for longer than the maximum age of
// the configuration. Repeatable requests must still be answered and at-most-once
// requests be refused as not run. After the pause both must be answered again.
func TestStorePausedKeepsServing(t *testing.T) {
	d := newDeployment(t)
	root := d.modelPool().Weights.Or("")
	require.NoError(t, d.store.Pause())
	time.Sleep(8 * time.Second)
	for range 5 {
		requireWholeAnswer(t, d.send(t.Context(), "entry-1", "labels", "", prompt), root, prompt, 8)
		requireWholeAnswer(t, d.send(t.Context(), "entry-2", "labels", "", prompt), root, prompt, 8)
	}
	refused := d.send(t.Context(), "entry-1", "lots", "lot-1", `{"lot": 1}`)
	require.NoError(t, refused.err)
	require.NotEqual(t, http.StatusOK, refused.status)
	require.Equal(t, "not-run", string(refused.problem.Work), string(refused.body))
	require.Zero(t, d.countRuns("lot-1"))
	require.NoError(t, d.store.Resume())
	d.waitUntil("an at-most-once request succeeds again", func() bool {
		return d.send(t.Context(), "entry-1", "lots", "lot-2", `{"lot": 2}`).isWhole()
	})
}

// TestDataCentreOut takes a data centre out and sends requests to all entries.
// Once the change is in force, the engines of the data centre must start no
// request, and all requests must be answered.
func TestDataCentreOut(t *testing.T) {
	d := newDeployment(t)
	d.warmUp("labels", prompt)
	d.runCLI("data-centre", "out", "lausanne-nord", "--wait", "in-force")
	startsBefore := d.backendCounters("engine-2").Starts
	root := d.modelPool().Weights.Or("")
	for range 10 {
		for entry := range d.entryURLs {
			requireWholeAnswer(t, d.send(t.Context(), entry, "labels", "", prompt), root, prompt, 8)
		}
	}
	require.Equal(t, startsBefore, d.backendCounters("engine-2").Starts, "starts while the data centre is out")
	d.runCLI("data-centre", "in", "lausanne-nord", "--wait", "in-force")
	d.waitUntil("the data centre starts requests again", func() bool {
		d.send(t.Context(), "entry-2", "labels", "", prompt)
		return d.backendCounters("engine-2").Starts > startsBefore
	})
}

// TestPausedAgentStartsNothingStale pauses an agent, takes its data centre out and
// resumes the agent. Requests that waited in its socket must not start.
func TestPausedAgentStartsNothingStale(t *testing.T) {
	d := newDeployment(t)
	d.warmUp("labels", prompt)
	require.NoError(t, d.daemons["engine-2"].Pause())
	waitForAnswers := d.sendMany("entry-2", "labels", 6, noKey, prompt)
	d.runCLI("data-centre", "out", "lausanne-nord")
	time.Sleep(6 * time.Second)
	startsBefore := d.backendCounters("engine-2").Starts
	require.NoError(t, d.daemons["engine-2"].Resume())
	for _, got := range waitForAnswers() {
		require.NoError(t, got.err)
	}
	require.Equal(t, startsBefore, d.backendCounters("engine-2").Starts)
}

// TestEngineRestartsEmpty restarts an engine without staged weights. The engine
// must not answer requests until it has activated the complete version again.
func TestEngineRestartsEmpty(t *testing.T) {
	d := newDeployment(t)
	root := d.modelPool().Weights.Or("")
	d.injectFaults("engine-1", `{"restart_empty": true}`)
	for range 5 {
		requireWholeAnswer(t, d.send(t.Context(), "entry-1", "labels", "", prompt), root, prompt, 8)
	}
	d.waitUntil("the restarted engine has activated the version", func() bool { return d.engineState(d.backendURLs["engine-1"]).Weights == root })
	require.Zero(t, d.backendCounters("engine-1").PartialWeights)
}

// TestRacingOperators sends concurrent edits that expect the same revision. One
// must be accepted and all others refused with revision-conflict.
func TestRacingOperators(t *testing.T) {
	d := newDeployment(t)
	editFormat := `{"edit_id": "race-%d", "if_revision": %d, "set_teams": [{"name": "aare", "weight": %d}]}`
	accepted := d.sendConcurrentEdits(editFormat, 8)
	require.Equal(t, 1, accepted)
}

func (d *deployment) sendConcurrentEdits(format string, n int) int {
	revision := d.currentRevision()
	results := make(chan int, n)
	for i := range n {
		go func() { results <- d.postEdit(context.Background(), i, format, revision) }()
	}
	accepted := 0
	for range n {
		switch code := <-results; code {
		case 0:
			accepted++
		default:
			require.Equal(d.t, int(core.CodeRevisionConflict), code)
		}
	}
	return accepted
}
