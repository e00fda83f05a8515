package agent

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/requests/admission"
	"currantusher.dev/requests/attempt"
	standin "currantusher.dev/standin/backend"
	"currantusher.dev/standin/engine"
	"currantusher.dev/tables"
	"currantusher.dev/weights/swarm"
)

// orders replaces the engine's activation.
type orders struct {
	swarm.Staging
	activate func()
}

func (o orders) Activate(context.Context, core.Digest, core.FencingToken) error {
	o.activate()
	return nil
}

// TestActivationHoldsTheColdLimit looks at the limit while and after the engine
// turns cold by an activation, before the next regular reading of its state.
func TestActivationHoldsTheColdLimit(t *testing.T) {
	stand := engine.New(engine.Config{WarmUp: time.Hour, ColdLimit: 1, WarmLimit: 8})
	server := httptest.NewServer(stand)
	t.Cleanup(server.Close)
	a := &Agent{
		backend: newBackend(server.URL),
		gate:    admission.New(admission.Config{Incarnation: 1, Limits: tables.Limits{ColdRequests: 1, WarmRequests: 8}}),
	}
	a.engine.Store(&engineView{state: BackendState{Warm: true}, serving: true})
	warm(t, a)
	require.Greater(t, a.gate.Load(time.Now()).Limit, 1)

	during := 0
	staged := stagedEngine{agent: a, Staging: orders{activate: func() {
		during = a.gate.Load(time.Now()).Limit
		require.Positive(t, a.activating.Load(), "starts meanwhile count as cold")
		require.NoError(t, stand.Inject(standin.Faults{TurnCold: true}))
	}}}
	require.NoError(t, staged.Activate(t.Context(), core.Digest{}, 1))
	require.Equal(t, 1, during)
	require.Equal(t, 1, a.gate.Load(time.Now()).Limit)
	require.False(t, a.engine.Load().state.Warm, "the state was read before the hold ended")
	require.Zero(t, a.activating.Load())
}

// warm lets good answers raise the gate's limit.
func warm(t *testing.T, a *Agent) {
	t.Helper()
	now := time.Now()
	for i := range 20 {
		wanted := admission.Attempt{ID: attemptID(i), Incarnation: 1, Received: now, Remaining: time.Minute}
		permit, err := a.gate.Start(now, wanted, admission.Conditions{EngineServing: true})
		require.NoError(t, err)
		now = now.Add(time.Millisecond)
		permit.FirstByte(now)
		permit.Done(now, admission.Succeeded)
	}
}

func attemptID(i int) string {
	return attempt.ID{Process: "entry-1.1", Sequence: uint64(i + 1)}.String()
}
