package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestVersionReadAfterTwoStandstillsIsRequiredFromTheBeginningOfTheFirst(t *testing.T) {
	f, now := newTestFollower(t)
	advance(f, now, time.Second)
	*now = now.Add(2500 * time.Millisecond)
	advance(f, now, 200*time.Millisecond)
	*now = now.Add(1600 * time.Millisecond)
	importVersion(t, f, 2, 6)
	require.EqualValues(t, 2, f.View().RequiredVersion(start.Add(9*time.Second+300*time.Millisecond), "m", testInForceWithin), "no call of the store has ended since the first standstill began")
}
