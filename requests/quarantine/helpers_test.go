package quarantine

import (
	"fmt"
	"slices"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
)

const testSettle = 300 * time.Millisecond

var testStart = time.Unix(1_000_000, 0)

// at returns the moment a number of seconds after testStart.
func at(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

// newTestSet returns a Set that has run for some time.
func newTestSet() *Set {
	s := NewSet()
	s.Decide(testStart.Add(-time.Minute), 0)
	return s
}

func part(id string) fleet.Trait { return fleet.Trait{Model: "llm", ID: id} }

func parts(ids ...string) []fleet.Trait {
	list := make([]fleet.Trait, len(ids))
	for i, id := range ids {
		list[i] = part(id)
	}
	return list
}

func lifetime(server string) notices.Lifetime {
	return notices.Lifetime{Server: core.InstanceID(server), Incarnation: 1}
}

// crashWith reports the crash of a server with one waiting request.
func crashWith(s *Set, seconds float64, server, request string, ids ...string) bool {
	return s.Crashed(at(seconds), lifetime(server), at(seconds), suspects(request, parts(ids...)))
}

// crashEvery reports count crashes of different servers, each with another request that
// holds the parts. It returns the time of the last one.
func crashEvery(s *Set, from, gap float64, count int, ids ...string) float64 {
	for i := range count {
		seconds := from + gap*float64(i)
		crashWith(s, seconds, fmt.Sprintf("%s-%v", ids[0], seconds), fmt.Sprintf("r-%s-%v", ids[0], seconds), ids...)
	}
	return from + gap*float64(count-1)
}

// quarantinedIDs returns the quarantined parts, sorted.
func quarantinedIDs(s *Set, seconds float64) []string {
	var ids []string
	s.mu.Lock()
	defer s.mu.Unlock()
	for p, q := range s.quarantines {
		if q.isActive(at(seconds)) {
			ids = append(ids, p.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// exchange sends the evidence of one Set to another one.
func exchange(seconds float64, from, to *Set) ([]Change, bool) {
	return to.Merge(at(seconds), from.Evidence(at(seconds)))
}
