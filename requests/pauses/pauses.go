// Package pauses keeps the announced pauses of backend servers. A server pauses
// while it loads weights: its engine completes the running requests first and
// accepts no new ones. Entries that have the start of the pause in advance send
// the server only requests that end before it, which shortens the pause to a
// fraction. The package has no clock and does no I/O.
package pauses

import (
	"sync"
	"time"

	"currantusher.dev/core/fleet"
)

// maxPause is the time after which a pause counts as over if its end was not
// announced: the longest answers take 3 s, and loading takes a fraction of a
// second.
const maxPause = 4 * time.Second

// Set holds the announced pauses of all servers. It is safe for concurrent use.
type Set struct {
	mu sync.Mutex
	// byServer holds the latest announcement for each server address and version.
	byServer map[string]map[fleet.WeightsVersion]announcement
}

type announcement struct {
	pause fleet.PauseNotice
	// at is when the pause starts, or when its end was announced if it is over.
	at time.Time
}

// NewSet returns a Set without announcements.
func NewSet() *Set {
	return &Set{byServer: map[string]map[fleet.WeightsVersion]announcement{}}
}

// Record records an announcement that was received at now. It returns false
// and ignores the announcement if a later one was recorded.
func (s *Set) Record(now time.Time, pause fleet.PauseNotice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := s.byServer[pause.Addr]
	if versions == nil {
		versions = map[fleet.WeightsVersion]announcement{}
		s.byServer[pause.Addr] = versions
	}
	latest, ok := versions[pause.Version]
	if ok && pause.Sequence <= latest.pause.Sequence && !latest.isExpired(now) {
		return false
	}
	versions[pause.Version] = announcement{pause: pause, at: now.Add(pause.StartsIn)}
	return true
}

// PauseStart returns when a server stops accepting requests, or the zero time if
// no pause is announced or in progress. loaded is the version that the server has
// according to other sources; pauses to load it or an older one are ignored.
func (s *Set) PauseStart(now time.Time, addr string, loaded fleet.WeightsVersion) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var earliest time.Time
	for version, latest := range s.byServer[addr] {
		if latest.pause.Ended || version <= loaded || latest.isExpired(now) {
			continue
		}
		if earliest.IsZero() || latest.at.Before(earliest) {
			earliest = latest.at
		}
	}
	return earliest
}

// LoadedVersion returns the newest version of a model that a server has announced
// as loaded since it started, or 0. Announcements of an earlier process do not count.
func (s *Set) LoadedVersion(addr string, model fleet.Model, startedAt time.Time) fleet.WeightsVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newest fleet.WeightsVersion
	for version, latest := range s.byServer[addr] {
		if latest.pause.Ended && latest.pause.Model == model && !latest.isOfEarlierProcess(startedAt) {
			newest = max(newest, version)
		}
	}
	return newest
}

// LastPauseEnd returns when a server last announced the end of a pause, or the
// zero time.
func (s *Set) LastPauseEnd(addr string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var latestEnd time.Time
	for _, latest := range s.byServer[addr] {
		if latest.pause.Ended && latest.at.After(latestEnd) {
			latestEnd = latest.at
		}
	}
	return latestEnd
}

// Sweep drops expired announcements.
func (s *Set) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, versions := range s.byServer {
		for version, latest := range versions {
			if latest.isExpired(now) {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(s.byServer, addr)
		}
	}
}

// isOfEarlierProcess reports whether the announcement is older than the process that started
// at startedAt. Copies may arrive after that start.
func (a announcement) isOfEarlierProcess(startedAt time.Time) bool {
	if a.pause.StartedAtMillis > 0 {
		return a.pause.StartedAtMillis < startedAt.UnixMilli()
	}
	return a.at.Before(startedAt)
}

func (a announcement) isExpired(now time.Time) bool { return now.Sub(a.at) > maxPause }
