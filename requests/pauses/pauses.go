// Package pauses keeps which backend servers are about to take no requests for
// a moment, because they load weights. An engine ends its running requests
// before it loads; entries that know the moment ahead send it only what ends
// before, so that it is back after a fraction of the time. Book decides without
// clock or I/O.
package pauses

import (
	"sync"
	"time"

	"currantusher.dev/core/fleet"
)

// longestPause is how long after its begin a pause ends whose end was not
// announced: the longest answers take 3 s, and loading a fraction of a second.
const longestPause = 4 * time.Second

// Set is safe for concurrent use.
type Set struct {
	mu sync.Mutex
	// known holds the newest announcement of each server and version.
	known map[string]map[fleet.WeightsVersion]announced
}

type announced struct {
	pause fleet.Pause
	// begins is when the pause begins, or when it ended if it is over.
	begins time.Time
}

// NewSet returns a Book without announcements.
func NewSet() *Set { return &Set{known: map[string]map[fleet.WeightsVersion]announced{}} }

// Announce takes an announcement that arrived now. It returns false when a
// later one is known.
func (b *Set) Announce(now time.Time, pause fleet.Pause) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	versions := b.known[pause.Addr]
	if versions == nil {
		versions = map[fleet.WeightsVersion]announced{}
		b.known[pause.Addr] = versions
	}
	known, ok := versions[pause.Version]
	if ok && pause.Number <= known.pause.Number && !known.isForgotten(now) {
		return false
	}
	versions[pause.Version] = announced{pause: pause, begins: now.Add(pause.In)}
	return true
}

// PauseStart returns when a server takes no more requests, or the zero time when
// no pause is ahead of it or in progress. loaded is the version that the server
// is otherwise known to have.
func (b *Set) PauseStart(now time.Time, addr string, loaded fleet.WeightsVersion) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var first time.Time
	for version, known := range b.known[addr] {
		if known.pause.Over || version <= loaded || known.isForgotten(now) {
			continue
		}
		if first.IsZero() || known.begins.Before(first) {
			first = known.begins
		}
	}
	return first
}

// LoadedVersion returns the newest version of a model that a server announced as
// loaded, or 0.
func (b *Set) LoadedVersion(addr string, model fleet.Model) fleet.WeightsVersion {
	b.mu.Lock()
	defer b.mu.Unlock()
	var newest fleet.WeightsVersion
	for version, known := range b.known[addr] {
		if known.pause.Over && known.pause.Model == model {
			newest = max(newest, version)
		}
	}
	return newest
}

// LastPauseEnd returns when a server last announced that a pause is over, or the
// zero time.
func (b *Set) LastPauseEnd(addr string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var last time.Time
	for _, known := range b.known[addr] {
		if known.pause.Over && known.begins.After(last) {
			last = known.begins
		}
	}
	return last
}

// Sweep drops announcements that no longer count.
func (b *Set) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for addr, versions := range b.known {
		for version, known := range versions {
			if known.isForgotten(now) {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(b.known, addr)
		}
	}
}

func (a announced) isForgotten(now time.Time) bool { return now.Sub(a.begins) > longestPause }
