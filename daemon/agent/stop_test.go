package agent

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/invariant"
	"currantusher.dev/requests/admission"
)

// TestInvariantGracefulStop leaves out the wait for work in progress.
func TestInvariantGracefulStop(t *testing.T) {
	before := invariant.Count(invariant.GracefulStop)
	stopped, cancel := context.WithCancel(t.Context())
	cancel()
	a := &Agent{gate: admission.New(admission.Config{Incarnation: 1, Limits: startLimits})}
	a.checkStopped(stopped)
	require.Equal(t, before, invariant.Count(invariant.GracefulStop), "nothing runs")

	now := time.Now()
	attempt := admission.Attempt{ID: "entry-1.1.1", Incarnation: 1, Received: now, Remaining: time.Minute}
	permit, err := a.gate.Start(now, attempt, admission.Conditions{EngineServing: true})
	require.NoError(t, err)
	a.checkStopped(stopped)
	require.Equal(t, before+1, invariant.Count(invariant.GracefulStop), "a request was cut")
	permit.Done(now, admission.Succeeded)
}
