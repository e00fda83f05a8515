package quarantine

import (
	"time"

	"github.com/stretchr/testify/require"
)

// requireBounds checks the sizes of everything that a Set keeps.
func requireBounds(t require.TestingT, s *Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, starts := range []startTimes{s.partStarts, s.requestStarts} {
		require.LessOrEqual(t, len(starts.newer), maxStarts)
		require.LessOrEqual(t, len(starts.older), maxStarts)
	}
	var changedAt time.Time
	for _, q := range s.quarantines {
		if q.changedAt.After(changedAt) {
			changedAt = q.changedAt
		}
	}
	inForce := int(s.quarantines.countActive(changedAt))
	require.LessOrEqual(t, inForce, maxInForce)
	require.LessOrEqual(t, len(s.quarantines), max(maxQuarantines, inForce+minPast))
	require.LessOrEqual(t, len(s.crashes.crashes), maxCrashes)
	require.LessOrEqual(t, len(s.crashes.open), maxSuspicions)
	for _, q := range s.quarantines {
		require.LessOrEqual(t, len(q.with), maxRivals)
	}
	open, count := 0, 0
	for _, c := range s.crashes.crashes {
		require.LessOrEqual(t, len(c.suspects), maxSuspects)
		count += len(c.suspects)
		for part, suspicion := range c.suspects {
			require.LessOrEqual(t, len(suspicion.requests), maxRequests)
			if !suspicion.isSound {
				open++
				require.Contains(t, s.crashes.open[part], suspicion)
			}
		}
	}
	require.Equal(t, count, s.crashes.count)
	require.LessOrEqual(t, count, maxSuspicions)
	for _, list := range s.crashes.open {
		require.NotEmpty(t, list)
		open -= len(list)
	}
	require.Zero(t, open, "the index holds just the open suspicions")
}
