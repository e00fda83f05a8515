package staging

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// A piece for another region must not wait behind those for this one: a whole
// region gets it later otherwise.
func TestUrgentWaitersGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlaces(1)
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
		require.Equal(t, 1, p.free)
	})
}

func TestAbandonedWaitKeepsNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlaces(1)
		require.NoError(t, p.acquire(t.Context(), false))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- p.acquire(ctx, true) }()
		synctest.Wait()
		cancel()
		require.Error(t, <-ended)
		p.release()
		require.Equal(t, 1, p.free)
	})
}
