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

// fakeStaging replaces the activation of an engine with a function.
type fakeStaging struct {
	swarm.Staging
	activate func()
}

func (o fakeStaging) Activate(context.Context, core.Digest, core.FencingToken) error {
	o.activate()
	return nil
}

// TestActivationKeepsColdLimit checks that the cold start limit applies during an
// activation and after it, before the next regular poll of the engine's state.
// The engine turns cold during the activation.
func TestActivationKeepsColdLimit(t *testing.T) {
	engineServer := engine.New(engine.Config{WarmUp: time.Hour, ColdLimit: 1, WarmLimit: 8})
	server := httptest.NewServer(engineServer)
	t.Cleanup(server.Close)
	a := &Agent{
		backend: newBackend(server.URL),
		gate:    admission.New(admission.Config{Incarnation: 1, Limits: tables.Limits{ColdRequests: 1, WarmRequests: 8}}),
	}
	a.engineStatus.Store(&engineStatus{state: BackendState{Warm: true}, serving: true})
	raiseLimit(t, a)
	require.Greater(t, a.gate.Load(time.Now()).Limit, 1)

	limitDuringActivation := 0
	staging := coldLimitStaging{agent: a, Staging: fakeStaging{activate: func() {
		limitDuringActivation = a.gate.Load(time.Now()).Limit
		require.Positive(t, a.pendingActivations.Load(), "requests started during the activation count as cold starts")
		require.NoError(t, engineServer.Inject(standin.Faults{TurnCold: true}))
	}}}
	require.NoError(t, staging.Activate(t.Context(), core.Digest{}, 1))
	require.Equal(t, 1, limitDuringActivation)
	require.Equal(t, 1, a.gate.Load(time.Now()).Limit)
	require.False(t, a.engineStatus.Load().state.Warm, "Activate reads the engine's state before it returns")
	require.Zero(t, a.pendingActivations.Load())
}

// raiseLimit raises the gate's limit by successful requests.
func raiseLimit(t *testing.T, a *Agent) {
	t.Helper()
	now := time.Now()
	for i := range 20 {
		wanted := admission.Attempt{ID: testAttemptID(i), Incarnation: 1, Received: now, Remaining: time.Minute}
		permit, err := a.gate.Start(now, wanted, admission.Conditions{EngineServing: true})
		require.NoError(t, err)
		now = now.Add(time.Millisecond)
		permit.FirstByte(now)
		permit.Done(now, admission.Succeeded)
	}
}

func testAttemptID(i int) string {
	return attempt.ID{Process: "entry-1.1", Sequence: uint64(i + 1)}.String()
}
