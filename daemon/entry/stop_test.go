package entry

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/invariant"
)

// TestInvariantGracefulStop leaves out the wait for work in progress.
func TestInvariantGracefulStop(t *testing.T) {
	before := invariant.Count(invariant.GracefulStop)
	stopped, cancel := context.WithCancel(t.Context())
	cancel()
	e := &Entry{}
	e.checkStopped(stopped)
	require.Equal(t, before, invariant.Count(invariant.GracefulStop), "nothing runs")

	leave := e.work.Enter()
	e.checkStopped(stopped)
	require.Equal(t, before+1, invariant.Count(invariant.GracefulStop), "a request was cut")
	e.drainExpired.Store(true)
	e.checkStopped(stopped)
	require.Equal(t, before+1, invariant.Count(invariant.GracefulStop), "the drain time ran out")
	leave()
}
