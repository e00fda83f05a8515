package admission

import (
	"time"

	"currantusher.dev/requests/attempt"
)

// status is what the agent knows of an attempt.
type status uint8

const (
	// absent attempts were never seen.
	absent status = iota
	// barred attempts never started and never will.
	barred
	// begun attempts run now.
	begun
	// broken attempts started and did not end whole.
	broken
	// ran attempts ended whole.
	ran
	// forgotten attempts are older than what is remembered; they never start.
	forgotten
)

// ledger remembers attempts one by one for the retention period. An attempt
// that it drops raises the floor of its entry process: attempts up to the
// floor never start, so dropping loses no safety.
type ledger struct {
	retention time.Duration
	capacity  int
	statuses  map[attempt.ID]status
	order     []mark
	floors    map[string]floor
}

// floor bars the attempts of an entry process up to a sequence number.
type floor struct {
	sequence uint64
	raised   time.Time
}

const (
	// floorCount is the number of floors from which on old ones are dropped.
	floorCount = 4096
	// floorRetention is far beyond the time that a frame of a process can be
	// in flight.
	floorRetention = 24 * time.Hour
)

type mark struct {
	id attempt.ID
	at time.Time
}

func newLedger(retention time.Duration, capacity int) ledger {
	return ledger{
		retention: retention,
		capacity:  capacity,
		statuses:  map[attempt.ID]status{},
		floors:    map[string]floor{},
	}
}

func (l *ledger) find(id attempt.ID) status {
	if known, ok := l.statuses[id]; ok {
		return known
	}
	if id.Sequence <= l.floors[id.Process].sequence {
		return forgotten
	}
	return absent
}

func (l *ledger) record(now time.Time, id attempt.ID, next status) {
	_, known := l.statuses[id]
	l.statuses[id] = next
	if !known {
		l.order = append(l.order, mark{id: id, at: now})
	}
}

// expire drops what is older than the retention period or beyond the capacity.
// Attempts that run are kept.
func (l *ledger) expire(now time.Time) {
	kept := 0
	for l.isDue(now, kept) {
		oldest := l.order[0]
		l.order = l.order[1:]
		if l.statuses[oldest.id] == begun {
			l.order = append(l.order, mark{id: oldest.id, at: now})
			kept++
			continue
		}
		l.forget(now, oldest.id)
	}
}

// isDue reports whether the oldest mark must go. The last kept marks were put
// back in this round.
func (l *ledger) isDue(now time.Time, kept int) bool {
	if len(l.order) <= kept {
		return false
	}
	return len(l.order) > l.capacity || now.Sub(l.order[0].at) >= l.retention
}

func (l *ledger) forget(now time.Time, id attempt.ID) {
	delete(l.statuses, id)
	raised := max(l.floors[id.Process].sequence, id.Sequence)
	l.floors[id.Process] = floor{sequence: raised, raised: now}
	if len(l.floors) > floorCount {
		l.dropFloors(now)
	}
}

// dropFloors forgets entry processes that have not called for long.
func (l *ledger) dropFloors(now time.Time) {
	for process, f := range l.floors {
		if now.Sub(f.raised) >= floorRetention {
			delete(l.floors, process)
		}
	}
}
