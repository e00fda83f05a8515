package members

import (
	"sort"
	"time"

	"currantusher.dev/core"
)

// revisionLogSize bounds the revisions whose first sighting is remembered.
const revisionLogSize = 1024

// revisionLog remembers when each higher revision was first known to exist.
type revisionLog struct {
	sightings []sighting
}

type sighting struct {
	revision core.Revision
	at       time.Time
}

func (l *revisionLog) note(now time.Time, revision core.Revision) {
	if revision == 0 {
		return
	}
	if n := len(l.sightings); n > 0 && l.sightings[n-1].revision >= revision {
		return
	}
	l.sightings = append(l.sightings, sighting{revision, now})
	if len(l.sightings) > revisionLogSize {
		l.sightings = append(l.sightings[:0], l.sightings[1:]...)
	}
}

// firstSeen returns a time at which revision was surely accepted already: when
// it or a later one was first known here.
func (l *revisionLog) firstSeen(revision core.Revision) (time.Time, bool) {
	i := sort.Search(len(l.sightings), func(i int) bool { return l.sightings[i].revision >= revision })
	if i == len(l.sightings) {
		return time.Time{}, false
	}
	return l.sightings[i].at, true
}

// inForce reports whether every daemon that may start new work runs revision
// or a later one, and names those that do not.
//
// A daemon that reports counts until it runs the revision. A silent one counts
// until its lease has ended: it confirmed any older configuration before the
// revision was accepted, so from then on it starts new work for at most the
// longest configuration age. One that said that it ended does not count.
func (r *roster) inForce(now time.Time, revision core.Revision) (bool, []core.InstanceID) {
	seenAt, seen := r.known.firstSeen(revision)
	leaseEnded := seen && now.Sub(seenAt) >= r.timing.lease
	var missing []core.InstanceID
	for id, known := range r.records {
		if blocks(now, known, revision, leaseEnded) {
			missing = append(missing, id)
		}
	}
	sort.Slice(missing, func(i, j int) bool { return missing[i] < missing[j] })
	return r.listRead && seen && len(missing) == 0, missing
}

func blocks(now time.Time, known *record, revision core.Revision, leaseEnded bool) bool {
	if now.Before(known.ghost.until) && known.ghost.revision < revision && !leaseEnded {
		return true
	}
	if known.left() || known.revision >= revision {
		return false
	}
	if known.silent() && leaseEnded {
		return false
	}
	return true
}
