package quarantine

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
)

// reportLog collects what a Confirmer reports.
type reportLog struct {
	mu       sync.Mutex
	suspects []fleet.Suspect
	times    []time.Time
}

func (l *reportLog) report(_ notices.Lifetime, at time.Time, waiting []fleet.Suspect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspects = append(l.suspects, waiting...)
	l.times = append(l.times, at)
}

func (l *reportLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.suspects)
}

// has returns a condition that holds once there are count suspects.
func (l *reportLog) has(count int) func() bool { return func() bool { return l.count() == count } }

// confirmerWith returns a Confirmer whose checks end with err once release is closed.
func confirmerWith(err error, release chan struct{}) (*Confirmer, *reportLog, chan struct{}) {
	log, dialed := &reportLog{}, make(chan struct{}, 100)
	return NewConfirmer(func(ctx context.Context, _ string) error {
		select {
		case <-release:
		case <-ctx.Done():
			err = ctx.Err()
		}
		dialed <- struct{}{}
		return err
	}, log.report), log, dialed
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func isIdle(c *Confirmer) func() bool {
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.checks) == 0
	}
}

func TestServerThatRefusesConnectionsHasCrashed(t *testing.T) {
	for _, err := range []error{syscall.ECONNREFUSED, fmt.Errorf("dial: %w", syscall.ECONNRESET)} {
		c, log, _ := confirmerWith(err, closedChannel())
		c.Lost(t.Context(), at(0), lifetime("s"), "addr", "r1", parts("a", "b"))
		assert.Eventually(t, log.has(2), time.Minute, time.Millisecond)
		assert.Equal(t, suspects("r1", parts("a", "b")), log.suspects)
		assert.Equal(t, []time.Time{at(0)}, log.times)
	}
}

func TestServerThatOnlyDroppedAConnectionIsNotReported(t *testing.T) {
	for _, err := range []error{nil, syscall.ETIMEDOUT, context.DeadlineExceeded, syscall.EHOSTUNREACH} {
		c, log, _ := confirmerWith(err, closedChannel())
		c.Lost(t.Context(), at(0), lifetime("s"), "addr", "r1", parts("a"))
		assert.Eventually(t, isIdle(c), time.Minute, time.Millisecond)
		assert.Zero(t, log.count(), "%v", err)
	}
}

func TestConnectionsLostDuringACheckAreReportedWithIt(t *testing.T) {
	release := make(chan struct{})
	c, log, dialed := confirmerWith(syscall.ECONNREFUSED, release)
	for i := range 5 {
		c.Lost(t.Context(), at(float64(i)/100), lifetime("s"), "addr", fmt.Sprint(i), parts("a"))
	}
	close(release)
	assert.Eventually(t, log.has(5), time.Minute, time.Millisecond)
	assert.Len(t, dialed, 1, "one check for all connections")
	assert.Equal(t, 5, log.count())
	assert.Equal(t, []time.Time{at(0)}, log.times)
}

func TestConnectionsLostAfterACheckAreReportedAsOfTheSameCrash(t *testing.T) {
	c, log, dialed := confirmerWith(syscall.ECONNREFUSED, closedChannel())
	c.Lost(t.Context(), at(0), lifetime("s"), "addr", "r1", parts("a"))
	assert.Eventually(t, log.has(1), time.Minute, time.Millisecond)
	c.Lost(t.Context(), at(0.2), lifetime("s"), "addr", "r2", parts("a"))
	assert.Equal(t, []time.Time{at(0), at(0)}, log.times)
	assert.Len(t, dialed, 1)
	c.Lost(t.Context(), at(10), lifetime("s"), "addr", "r3", parts("a"))
	assert.Eventually(t, log.has(3), time.Minute, time.Millisecond)
	assert.Len(t, dialed, 2, "a later loss needs a check of its own")
	assert.Equal(t, at(10), log.times[2])
}

func TestRequestWithoutSharedPartsNeedsNoCheck(t *testing.T) {
	c, log, dialed := confirmerWith(syscall.ECONNREFUSED, closedChannel())
	c.Lost(t.Context(), at(0), lifetime("s"), "addr", "r1", nil)
	assert.True(t, isIdle(c)())
	assert.Zero(t, log.count())
	assert.Empty(t, dialed)
}

func TestCheckSurvivesTheEndOfItsRequest(t *testing.T) {
	c, log, _ := confirmerWith(syscall.ECONNREFUSED, closedChannel())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c.Lost(ctx, at(0), lifetime("s"), "addr", "r1", parts("a"))
	assert.Eventually(t, log.has(1), time.Minute, time.Millisecond)
}

func TestReportMayUseTheConfirmerAgain(t *testing.T) {
	var c *Confirmer
	reported := make(chan struct{}, 2)
	c = NewConfirmer(func(context.Context, string) error { return syscall.ECONNREFUSED }, func(notices.Lifetime, time.Time, []fleet.Suspect) {
		if len(reported) == 0 {
			reported <- struct{}{}
			c.Lost(context.Background(), at(0.1), lifetime("s"), "addr", "r2", parts("a"))
			return
		}
		reported <- struct{}{}
	})
	c.Lost(t.Context(), at(0), lifetime("s"), "addr", "r1", parts("a"))
	assert.Eventually(t, func() bool { return len(reported) == 2 }, time.Minute, time.Millisecond)
}

func TestSuspectsOfARunningCheckAreBounded(t *testing.T) {
	release := make(chan struct{})
	c, _, _ := confirmerWith(syscall.ECONNREFUSED, release)
	for i := range 10_000 {
		c.Lost(t.Context(), at(0), lifetime("s"), "addr", fmt.Sprint(i), parts("a", fmt.Sprint(i)))
	}
	c.mu.Lock()
	assert.LessOrEqual(t, len(c.checks[lifetime("s")].waiting), 1000)
	c.mu.Unlock()
	close(release)
	assert.Eventually(t, isIdle(c), time.Minute, time.Millisecond)
}
