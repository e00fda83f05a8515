package e2e

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

// TestStorePausedKeepsServing pauses the store for longer than the
// configuration may age: repeatable requests go on, requests that may not be
// repeated are refused as not run, and afterwards both are served again.
func TestStorePausedKeepsServing(t *testing.T) {
	d := newDeployment(t)
	root := d.pool().Weights.Or("")
	require.NoError(t, d.store.Pause())
	time.Sleep(8 * time.Second)
	for range 5 {
		requireWholeText(t, d.send(t.Context(), "entry-1", "labels", "", prompt), root, prompt, 8)
		requireWholeText(t, d.send(t.Context(), "entry-2", "labels", "", prompt), root, prompt, 8)
	}
	refused := d.send(t.Context(), "entry-1", "lots", "lot-1", `{"lot": 1}`)
	require.NoError(t, refused.err)
	require.NotEqual(t, http.StatusOK, refused.status)
	require.Equal(t, "not-run", string(refused.problem.Work), string(refused.body))
	require.Zero(t, d.runs("lot-1"))
	require.NoError(t, d.store.Resume())
	d.eventually("claims work again", func() bool {
		return d.send(t.Context(), "entry-1", "lots", "lot-2", `{"lot": 2}`).whole()
	})
}

// TestDataCentreOut takes a data centre out while callers send: once the
// change is in force its engines start nothing, and all requests are served.
func TestDataCentreOut(t *testing.T) {
	d := newDeployment(t)
	d.warm("labels", prompt)
	d.cli("data-centre", "out", "lausanne-nord", "--wait", "in-force")
	before := d.counters("engine-2").Starts
	root := d.pool().Weights.Or("")
	for range 10 {
		for entry := range d.entries {
			requireWholeText(t, d.send(t.Context(), entry, "labels", "", prompt), root, prompt, 8)
		}
	}
	require.Equal(t, before, d.counters("engine-2").Starts, "starts while the data centre is out")
	d.cli("data-centre", "in", "lausanne-nord", "--wait", "in-force")
	d.eventually("the data centre serves again", func() bool {
		d.send(t.Context(), "entry-2", "labels", "", prompt)
		return d.counters("engine-2").Starts > before
	})
}

// TestPausedAgentStartsNothingStale pauses an agent, takes its data centre out
// meanwhile and resumes it: requests that wait in its socket do not start.
func TestPausedAgentStartsNothingStale(t *testing.T) {
	d := newDeployment(t)
	d.warm("labels", prompt)
	require.NoError(t, d.daemons["engine-2"].Pause())
	wait := d.sendMany("entry-2", "labels", 6, noKey, prompt)
	d.cli("data-centre", "out", "lausanne-nord")
	time.Sleep(6 * time.Second)
	before := d.counters("engine-2").Starts
	require.NoError(t, d.daemons["engine-2"].Resume())
	for _, got := range wait() {
		require.NoError(t, got.err)
	}
	require.Equal(t, before, d.counters("engine-2").Starts)
}

// TestEngineRestartsEmpty restarts an engine with nothing staged: nobody gets
// an answer from it until it carries the whole version again.
func TestEngineRestartsEmpty(t *testing.T) {
	d := newDeployment(t)
	root := d.pool().Weights.Or("")
	d.inject("engine-1", `{"restart_empty": true}`)
	for range 5 {
		requireWholeText(t, d.send(t.Context(), "entry-1", "labels", "", prompt), root, prompt, 8)
	}
	d.eventually("the version is back", func() bool { return d.state(d.backs["engine-1"]).Weights == root })
	require.Zero(t, d.counters("engine-1").PartialWeights)
}

// TestRacingOperators sends edits that all expect the same revision: one is
// accepted and the others change nothing.
func TestRacingOperators(t *testing.T) {
	d := newDeployment(t)
	edit := `{"edit_id": "race-%d", "if_revision": %d, "set_teams": [{"name": "aare", "weight": %d}]}`
	accepted := d.race(edit, 8)
	require.Equal(t, 1, accepted)
}

func (d *deployment) race(format string, n int) int {
	revision := d.revision()
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
