// Package clock provides a clock for times that are compared with events elsewhere,
// for example the age of a configuration change.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock counts the time for which the machine was suspended, which the monotonic
// reading of time.Now does not. Changes of the time of day have no effect on it. Its
// times may only be compared with other times of the same Clock. It is safe for
// concurrent use.
type Clock struct {
	start     time.Time
	startBoot time.Duration
	sinceBoot func() time.Duration
}

// New returns a Clock that starts at the time of day.
func New() *Clock { return newClock(time.Now(), sinceBoot) }

func newClock(start time.Time, sinceBoot func() time.Duration) *Clock {
	return &Clock{start: start, startBoot: sinceBoot(), sinceBoot: sinceBoot}
}

// Now returns the current time.
func (c *Clock) Now() time.Time { return c.start.Add(c.sinceBoot() - c.startBoot) }

// Since returns the time since t, a time of this Clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// sinceBoot returns the time since the machine started, including suspensions. Linux
// has had this clock since version 2.6.39, so that the call does not fail.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
