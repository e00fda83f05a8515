package admission

import (
	"time"

	"currantusher.dev/requests/attempt"
)

// status is the state of an attempt at this agent.
type status uint8

const (
	// statusUnseen is an attempt that was not received before.
	statusUnseen status = iota
	// statusBlocked is an attempt that never started and never will.
	statusBlocked
	// statusRunning is an attempt in progress.
	statusRunning
	// statusIncomplete is an attempt that started and did not complete.
	statusIncomplete
	// statusCompleted is an attempt that ran to completion.
	statusCompleted
	// statusExpired is an attempt at or below the sequence floor of its entry
	// process. It never starts.
	statusExpired
)

// ledger keeps the status of each attempt for the retention period. When an
// attempt expires, the sequence floor of its entry process rises to it.
// Attempts up to the floor never start, so expiry cannot let an attempt start
// twice.
type ledger struct {
	retention   time.Duration
	capacity    int
	statuses    map[attempt.ID]status
	oldestFirst []timedID
	floors      map[string]sequenceFloor
}

// sequenceFloor blocks all attempts of an entry process up to a sequence number.
type sequenceFloor struct {
	sequence uint64
	raisedAt time.Time
}

const (
	// maxFloors is the number of floors above which stale floors are dropped.
	maxFloors = 4096
	// floorRetention is the age at which a floor may be dropped. It is far
	// longer than a frame of an entry process can be in flight.
	floorRetention = 24 * time.Hour
)

type timedID struct {
	id         attempt.ID
	recordedAt time.Time
}

func newLedger(retention time.Duration, capacity int) ledger {
	return ledger{
		retention: retention,
		capacity:  capacity,
		statuses:  map[attempt.ID]status{},
		floors:    map[string]sequenceFloor{},
	}
}

func (l *ledger) statusOf(id attempt.ID) status {
	if known, ok := l.statuses[id]; ok {
		return known
	}
	if id.Sequence <= l.floors[id.Process].sequence {
		return statusExpired
	}
	return statusUnseen
}

func (l *ledger) record(now time.Time, id attempt.ID, next status) {
	_, known := l.statuses[id]
	l.statuses[id] = next
	if !known {
		l.oldestFirst = append(l.oldestFirst, timedID{id: id, recordedAt: now})
	}
}

// expire drops attempts that are older than the retention period or exceed the
// capacity. Running attempts are kept.
func (l *ledger) expire(now time.Time) {
	requeued := 0
	for l.mustExpire(now, requeued) {
		oldest := l.oldestFirst[0]
		l.oldestFirst = l.oldestFirst[1:]
		if l.statuses[oldest.id] == statusRunning {
			l.oldestFirst = append(l.oldestFirst, timedID{id: oldest.id, recordedAt: now})
			requeued++
			continue
		}
		l.expireOne(now, oldest.id)
	}
}

// mustExpire reports whether the oldest attempt must be dropped. requeued is
// the number of running attempts that this pass moved to the end of oldestFirst.
func (l *ledger) mustExpire(now time.Time, requeued int) bool {
	if len(l.oldestFirst) <= requeued {
		return false
	}
	return len(l.oldestFirst) > l.capacity || now.Sub(l.oldestFirst[0].recordedAt) >= l.retention
}

func (l *ledger) expireOne(now time.Time, id attempt.ID) {
	delete(l.statuses, id)
	highest := max(l.floors[id.Process].sequence, id.Sequence)
	l.floors[id.Process] = sequenceFloor{sequence: highest, raisedAt: now}
	if len(l.floors) > maxFloors {
		l.dropStaleFloors(now)
	}
}

// dropStaleFloors drops the floors that were not raised for floorRetention.
func (l *ledger) dropStaleFloors(now time.Time) {
	for process, f := range l.floors {
		if now.Sub(f.raisedAt) >= floorRetention {
			delete(l.floors, process)
		}
	}
}
