package members

import (
	"sort"
	"time"

	"currantusher.dev/core"
)

// maxSeenRevisions bounds the size of a revisionLog.
const maxSeenRevisions = 1024

// revisionLog records when each new highest revision was first seen.
type revisionLog struct {
	seen []seenRevision
}

type seenRevision struct {
	revision    core.Revision
	firstSeenAt time.Time
}

func (l *revisionLog) add(now time.Time, revision core.Revision) {
	if revision == 0 {
		return
	}
	if n := len(l.seen); n > 0 && l.seen[n-1].revision >= revision {
		return
	}
	l.seen = append(l.seen, seenRevision{revision, now})
	if len(l.seen) > maxSeenRevisions {
		l.seen = append(l.seen[:0], l.seen[1:]...)
	}
}

// firstSeen returns a time at which revision had certainly been accepted: when
// this or a later revision was first seen here.
func (l *revisionLog) firstSeen(revision core.Revision) (time.Time, bool) {
	i := sort.Search(len(l.seen), func(i int) bool { return l.seen[i].revision >= revision })
	if i == len(l.seen) {
		return time.Time{}, false
	}
	return l.seen[i].firstSeenAt, true
}

// inForce reports whether every daemon that may start new work runs revision or
// a later one, and returns the IDs of the daemons that do not.
//
// A daemon that reports blocks until it runs the revision. A silent daemon
// blocks until its lease has expired. The lease starts when the revision was
// first seen here: the daemon's older configuration was confirmed before the
// revision was accepted, so the daemon starts new work for at most the maximum
// configuration age from then on. A daemon that reported its own exit does not
// block.
func (r *roster) inForce(now time.Time, revision core.Revision) (bool, []core.InstanceID) {
	seenAt, seen := r.revisions.firstSeen(revision)
	leaseExpired := seen && now.Sub(seenAt) >= r.timing.lease
	var missing []core.InstanceID
	for id, rec := range r.records {
		if blocksInForce(now, rec, revision, leaseExpired) {
			missing = append(missing, id)
		}
	}
	sort.Slice(missing, func(i, j int) bool { return missing[i] < missing[j] })
	return r.listRead && seen && len(missing) == 0, missing
}

func blocksInForce(now time.Time, rec *record, revision core.Revision, leaseExpired bool) bool {
	if now.Before(rec.stale.expiresAt) && rec.stale.minRevision < revision && !leaseExpired {
		return true
	}
	if rec.hasLeft() || rec.revision >= revision {
		return false
	}
	if rec.isSilent() && leaseExpired {
		return false
	}
	return true
}
