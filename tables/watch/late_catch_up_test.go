package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestVersionReadSomeTimeAfterAStandstillIsRequiredFromItsBeginning(t *testing.T) {
	f, now := newTestFollower(t)
	advance(f, now, time.Second)
	*now = now.Add(4 * time.Second)
	advance(f, now, 1100*time.Millisecond)
	importVersion(t, f, 2, 6)
	require.EqualValues(t, 2, f.View().RequiredVersion(start.Add(9*time.Second), "m", testInForceWithin), "no call of the store has ended since the standstill began")
}
