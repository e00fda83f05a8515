package staging

import (
	"sync"
	"time"
)

// OriginStats is what an agent has received from the origin of weights.
type OriginStats struct {
	// BytesByVersion holds the bytes of pieces by version, for the last versions.
	BytesByVersion map[VersionKey]int64
	// Idle is for how long the agent had no request to the origin in progress after one had
	// failed, although it still needed the piece.
	Idle time.Duration
}

// maxStatsVersions bounds the versions in OriginStats.
const maxStatsVersions = 8

// originStats collects OriginStats. It is safe for concurrent use.
type originStats struct {
	mu     sync.Mutex
	bytes  map[VersionKey]int64
	idle   time.Duration
	active int
	// idleSince is the end of the last request, if it failed and none is in progress.
	idleSince time.Time
}

func newOriginStats() *originStats { return &originStats{bytes: map[VersionKey]int64{}} }

// begin counts a request that starts now.
func (s *originStats) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	if !s.idleSince.IsZero() {
		s.idle += now.Sub(s.idleSince)
		s.idleSince = time.Time{}
	}
}

// end counts the end of a request and the bytes that it has brought. isWanted reports
// whether its piece is still needed.
func (s *originStats) end(now time.Time, key VersionKey, bytes int, isWanted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if isWanted && s.active == 0 {
		s.idleSince = now
	}
	if bytes == 0 {
		return
	}
	s.bytes[key] += int64(bytes)
	for len(s.bytes) > maxStatsVersions {
		oldest := key
		for other := range s.bytes {
			if other.Version < oldest.Version {
				oldest = other
			}
		}
		delete(s.bytes, oldest)
	}
}

// OriginStats returns what this agent has received from the origin since its start.
func (m *Manager) OriginStats() OriginStats {
	m.originStats.mu.Lock()
	defer m.originStats.mu.Unlock()
	stats := OriginStats{BytesByVersion: map[VersionKey]int64{}, Idle: m.originStats.idle}
	for key, bytes := range m.originStats.bytes {
		stats.BytesByVersion[key] = bytes
	}
	return stats
}
