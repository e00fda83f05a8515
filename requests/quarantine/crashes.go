package quarantine

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
)

const (
	// crashRetention is how long a crash counts as evidence.
	crashRetention = 30 * time.Second
	// maxCrashes bounds the crashes that are kept; the oldest are dropped first.
	maxCrashes = 64
	// maxSuspects bounds the suspects of one crash. An engine's slots bound the
	// requests that wait there.
	maxSuspects = 48
	// mergePeriod is the time within which the connections to a crashed server end. A
	// later loss of connections to the same process is another event.
	mergePeriod = 500 * time.Millisecond
)

// crash is the end of one process of a server with the requests that waited there.
type crash struct {
	lifetime notices.Lifetime
	at       time.Time
	// changedAt is when the crash or one of its suspects became known here.
	changedAt time.Time
	suspects  map[fleet.PromptPart][]uint32
	count     int
}

func (c *crash) add(s fleet.Suspect) bool {
	if c.count >= maxSuspects || slices.Contains(c.suspects[s.Part], s.Request) {
		return false
	}
	c.suspects[s.Part] = append(c.suspects[s.Part], s.Request)
	c.count++
	return true
}

// crashLog holds the latest crash of each process of a server.
type crashLog map[notices.Lifetime]*crash

// record adds a crash, or suspects to a known one. It reports whether that changed
// anything.
func (l crashLog) record(now time.Time, lifetime notices.Lifetime, at time.Time, suspects []fleet.Suspect) bool {
	if now.Sub(at) >= crashRetention || len(suspects) == 0 {
		return false
	}
	c := l[lifetime]
	if c != nil && c.at.Sub(at) > mergePeriod {
		return false
	}
	if c == nil || at.Sub(c.at) > mergePeriod {
		if c == nil && len(l) >= maxCrashes {
			l.dropOldest()
		}
		c = &crash{lifetime: lifetime, at: at, changedAt: now, suspects: map[fleet.PromptPart][]uint32{}}
		l[lifetime] = c
	}
	changed := false
	for _, s := range suspects {
		changed = c.add(s) || changed
	}
	if at.Before(c.at) {
		c.at = at
	}
	if changed {
		c.changedAt = now
	}
	return changed
}

func (l crashLog) dropOldest() {
	var oldest *crash
	for _, c := range l {
		if oldest == nil || c.at.Before(oldest.at) {
			oldest = c
		}
	}
	delete(l, oldest.lifetime)
}

func (l crashLog) expire(now time.Time) {
	for lifetime, c := range l {
		if now.Sub(c.at) >= crashRetention {
			delete(l, lifetime)
		}
	}
}

// byTime returns the crashes in the order of time.
func (l crashLog) byTime() []*crash {
	list := make([]*crash, 0, len(l))
	for _, c := range l {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *crash) int {
		return cmp.Or(a.at.Compare(b.at), compareLifetimes(a.lifetime, b.lifetime))
	})
	return list
}

func compareLifetimes(a, b notices.Lifetime) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Incarnation, b.Incarnation))
}

// hashRequest returns a hash of a request's ID. Two requests with the same hash count
// as one, which at most delays a decision.
func hashRequest(id string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum32()
}
