package staging

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"currantusher.dev/core/pause"
)

// job is the work on one target version.
type job struct {
	target TargetVersion
	cancel context.CancelFunc
	// piecesRequested has an item if another agent has requested pieces of the
	// version while they are not held here.
	piecesRequested chan struct{}
	// fetched is closed when all pieces are held, or when the job ends.
	fetched     chan struct{}
	markFetched func()
	// older holds the jobs of older versions that were in progress at the start.
	older []*job
	// turnEnd is the end of the turn of an older version; zero if there is none.
	turnEnd time.Time
	// originFreeAt is when the origin has sent that version; zero if it no longer does.
	originFreeAt time.Time
	// hasYielded is set once the link of a narrow origin no longer works for this version.
	// The manager's lock guards it.
	hasYielded bool
	// now is Config.Now.
	now func() time.Time
	// peersTurnAt is when pieces could first be fetched from peers, a time of now in Unix
	// nanoseconds; 0 before.
	peersTurnAt atomic.Int64
}

// awaitOlderVersions waits until the pieces of older versions are held, or until they
// are overdue. The older version must be in force earlier, and in an outage of the
// origin it may be the only one whose pieces can be fetched.
// With a narrow origin they are overdue once its link works for this version.
func (j *job) awaitOlderVersions(ctx context.Context, isOriginsVersion func(TargetVersion) bool) {
	for j.target.isOriginNarrow() && ctx.Err() == nil && !isOriginsVersion(j.target) {
		pause.For(ctx, originTurnPoll)
	}
	for _, older := range j.older {
		if j.target.isOriginNarrow() {
			break
		}
		timer := time.NewTimer(j.overdueAt(older.target).Sub(j.now()))
		select {
		case <-older.fetched:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	j.peersTurnAt.CompareAndSwap(0, j.now().UnixNano())
}

// followTurn makes the job wait until the turn of an older version ends.
func (j *job) followTurn(turn fetchTurn) {
	if j.target.hasTurns() && !turn.isOfNewest() {
		j.turnEnd, j.originFreeAt = turn.end(), turn.originFreeAt()
	}
}

// overdueAt returns until when the job waits for an older version.
func (j *job) overdueAt(older TargetVersion) time.Time {
	if !j.turnEnd.IsZero() {
		return j.turnEnd
	}
	return older.RequestedAt.Add(scaleDuration(expectedArrivalFraction, older.InForceWithin))
}

// expectedArrival returns when all pieces are expected to be held.
func (j *job) expectedArrival(now time.Time) time.Time {
	start := j.target.RequestedAt
	if at := j.peersTurnAt.Load(); at > 0 && len(j.older) > 0 {
		start = time.Unix(0, at)
	} else if len(j.older) > 0 {
		start = now
	}
	return start.Add(scaleDuration(expectedArrivalFraction, j.target.InForceWithin))
}

// requestPieces makes the job hold the version's pieces for other agents.
func (j *job) requestPieces() {
	select {
	case j.piecesRequested <- struct{}{}:
	default:
	}
}

func newJob(target TargetVersion, now func() time.Time, cancel context.CancelFunc, older []*job) *job {
	j := &job{target: target, now: now, cancel: cancel, piecesRequested: make(chan struct{}, 1), fetched: make(chan struct{}), older: older}
	j.markFetched = sync.OnceFunc(func() { close(j.fetched) })
	return j
}

// isFetched reports whether all pieces are held, or the job has ended.
func (j *job) isFetched() bool {
	select {
	case <-j.fetched:
		return true
	default:
		return false
	}
}
