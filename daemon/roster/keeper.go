package roster

import "time"

// rewriteSpread is the time over which the daemons of a deployment write their rows
// again after a loss of the store. With 350 daemons that is about a quarter of the
// writes that the store accepts.
const rewriteSpread = 3 * time.Second

// keeper decides when a daemon writes its row again. The store loses rows only when its
// era rises, and the daemon does not know whether its own was among them. It has no
// clock and does no I/O.
type keeper struct {
	// writtenIn is the era in which the store last accepted the row, and seen the latest
	// known era.
	written         bool
	writtenIn, seen uint64
	// dueAt is when the row is to be written again; zero if it need not be.
	dueAt time.Time
}

// see records the store's era. A row that was accepted in an earlier one is due after
// delay.
func (k *keeper) see(now time.Time, era uint64, delay time.Duration) {
	k.seen = max(k.seen, era)
	if k.written && k.writtenIn < k.seen && k.dueAt.IsZero() {
		k.dueAt = now.Add(delay)
	}
}

func (k *keeper) isDue(now time.Time) bool { return !k.dueAt.IsZero() && !now.Before(k.dueAt) }

// accepted records that the store accepted the row in an era. knownBefore is the value
// of seen before the call; it counts if the response names no era.
func (k *keeper) accepted(era, knownBefore uint64) {
	k.written = true
	k.writtenIn = max(k.writtenIn, era, knownBefore)
	k.dueAt = time.Time{}
}

// failed records that a write that was due has failed.
func (k *keeper) failed(now time.Time, delay time.Duration) { k.dueAt = now.Add(delay) }
