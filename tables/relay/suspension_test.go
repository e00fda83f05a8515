package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/clock"
	"currantusher.dev/platform/rowstore"
)

// suspend lets d pass that the steady clock, which a test bubble stops, does not count.
func suspend(d time.Duration) {
	c := clock.New()
	for begin := c.Now(); c.Since(begin) < d; {
	}
}

func TestAgeOfCachedRowsCountsASuspensionOfTheMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache := NewCache(newFakeStore(), nil)
		_, err := cache.ReadAll(t.Context(), table)
		require.NoError(t, err)
		const suspension = 20 * time.Millisecond
		suspend(suspension)
		page, status := cache.AllRows(t.Context(), table, 0)
		require.Equal(t, StatusServed, status)
		require.GreaterOrEqual(t, page.Age, suspension)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		page, status = cache.ChangesSince(ctx, table, rowstore.Position{})
		require.Equal(t, StatusServed, status)
		require.GreaterOrEqual(t, page.Age, suspension)
	})
}
