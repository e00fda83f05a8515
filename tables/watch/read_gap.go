package watch

import (
	"time"

	"currantusher.dev/core/fleet"
)

// maxReadGap bounds the time between two reads of the changes between which a version was
// accepted that counts from the earlier one.
const maxReadGap = 2 * OperatorReadInterval

// lastRead describes the last read of the operators' table.
type lastRead struct {
	at time.Time
	// wasShort means that the call was short: a pause may have followed, for the least time
	// between two calls to the store.
	wasShort bool
	// startPause is the pause that followed because this daemon had just started, or 0.
	startPause time.Duration
}

// newTarget returns a version that was read at now. It may have been accepted in the pause
// after the last read. After a long one, daemons that did not pause know the time better.
func (r lastRead) newTarget(now time.Time, version fleet.WeightsVersion) TargetVersion {
	gap := now.Sub(r.at)
	switch {
	case r.wasShort && gap < maxReadGap:
		return TargetVersion{Version: version, Since: r.at}
	case r.startPause > 0 && gap < r.startPause+maxReadGap:
		return TargetVersion{Version: version, Since: r.at, IsEstimate: true}
	default:
		return TargetVersion{Version: version, Since: now}
	}
}

// markRead records that the reply to a call for a table that began at calledAt was applied
// at now.
func (s *State) markRead(name string, calledAt, now time.Time) {
	if name != OperatorTable {
		return
	}
	if !calledAt.Before(s.standstill.until) {
		s.standstill = timeSpan{}
	}
	s.lastRead = lastRead{at: now, wasShort: now.Sub(calledAt) < maxReadGap}
}

// pauseAfterRead returns the pause after a read of a table.
func (f *Follower) pauseAfterRead(name string, startedAt time.Time) time.Duration {
	if f.config.Now().Sub(startedAt) >= startTime || f.config.StartPollInterval <= f.config.PollInterval {
		return f.config.PollInterval
	}
	if name == OperatorTable {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.state.lastRead.startPause = f.config.StartPollInterval
	}
	return f.config.StartPollInterval
}
