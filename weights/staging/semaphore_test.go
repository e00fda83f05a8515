package staging

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// Guards against queueing a piece for another region behind pieces for this
// region, which would delay the piece for all agents of the other region.
func TestUrgentWaitersGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPrioritySemaphore(1)
		require.NoError(t, p.acquire(t.Context(), false))
		order := make(chan string, 4)
		wait := func(name string, urgent bool) {
			go func() {
				if p.acquire(t.Context(), urgent) == nil {
					order <- name
				}
			}()
			synctest.Wait()
		}
		wait("first", false)
		wait("second", false)
		wait("crossing", true)
		for _, want := range []string{"crossing", "first", "second"} {
			p.release()
			require.Equal(t, want, <-order)
		}
		p.release()
		require.Equal(t, 1, p.available)
	})
}

func TestCancelledWaitReleasesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPrioritySemaphore(1)
		require.NoError(t, p.acquire(t.Context(), false))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- p.acquire(ctx, true) }()
		synctest.Wait()
		cancel()
		require.Error(t, <-ended)
		p.release()
		require.Equal(t, 1, p.available)
	})
}
