package grace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	start    = time.Unix(1000, 0)
	schedule = Schedule{LastAnswer: start.Add(10 * time.Second), Stop: start.Add(12 * time.Second), Close: start.Add(13 * time.Second)}
)

// observed returns count durations of a second and one of the given length.
func observed(count int, longest time.Duration) Durations {
	var d Durations
	for range count {
		d.Add(time.Second)
	}
	d.Add(longest)
	return d
}

func TestLastStart(t *testing.T) {
	late := start.Add(time.Hour)
	for _, test := range []struct {
		name    string
		request Request
		want    time.Time
	}{
		{"the deadline comes first", Request{Deadline: start.Add(9 * time.Second)}, start.Add(9 * time.Second)},
		{"repeatable, nothing known", Request{Deadline: late, Repeatable: true}, schedule.LastAnswer},
		{"repeatable, objective", Request{Deadline: late, Repeatable: true, Objective: 2 * time.Second}, start.Add(8 * time.Second)},
		{"repeatable, usual duration", Request{Deadline: late, Repeatable: true, Objective: 2 * time.Second, Durations: observed(20, 5*time.Second)}, start.Add(9 * time.Second)},
		{"repeatable, predicted", Request{Deadline: late, Repeatable: true, Predicted: 3 * time.Second, Durations: observed(20, 5*time.Second)}, start.Add(7 * time.Second)},
		{"repeatable stream", Request{Deadline: late, Repeatable: true, Stream: true, Predicted: 3 * time.Second}, start.Add(9 * time.Second)},
		{"short stream, no objective", Request{Deadline: late, Repeatable: true, Stream: true, Durations: observed(20, time.Second)}, schedule.LastAnswer},
		{"short stream", Request{Deadline: late, Repeatable: true, Stream: true, Objective: 500 * time.Millisecond, Durations: observed(20, time.Second)}, start.Add(9500 * time.Millisecond)},
		{"stream whose deadline comes between", Request{Deadline: start.Add(11 * time.Second), Repeatable: true, Stream: true, Objective: 2 * time.Second}, start.Add(8 * time.Second)},
		{"stream whose deadline comes first", Request{Deadline: start.Add(9 * time.Second), Stream: true, Objective: 2 * time.Second}, start.Add(9 * time.Second)},
		{"stream once, longest duration", Request{Deadline: late, Stream: true, Objective: time.Second, Durations: observed(20, 5*time.Second)}, start.Add(5 * time.Second)},
		{"once, nothing known", Request{Deadline: late, Objective: time.Second}, time.Time{}},
		{"once, too little known", Request{Deadline: late, Objective: time.Second, Durations: observed(minSamples-2, time.Second)}, time.Time{}},
		{"once, longest duration", Request{Deadline: late, Objective: time.Second, Durations: observed(20, 5*time.Second)}, start.Add(5 * time.Second)},
		{"once, objective", Request{Deadline: late, Objective: 4 * time.Second, Durations: observed(20, 2*time.Second)}, start.Add(6 * time.Second)},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, schedule.LastStart(test.request))
		})
	}
}

// A process that had not run for a while closed connections before any answer was written.
func TestRequestsThatAreEndedLateHaveTimeToAnswer(t *testing.T) {
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	require.Equal(t, schedule.Close, schedule.CloseAt(schedule.LastAnswer, schedule.Stop))
	require.Equal(t, at(17), schedule.CloseAt(at(14), at(14)), "paused from before the last answer until after the close")
	require.Equal(t, at(15), schedule.CloseAt(schedule.LastAnswer, at(14)), "paused from after the last answer")
	require.Equal(t, at(14), schedule.CloseAt(at(11), at(12)), "paused before the stop only")
}

func TestDurationsForgetOldOnes(t *testing.T) {
	var d Durations
	d.Add(time.Hour)
	for range maxSamples {
		d.Add(time.Second)
	}
	longest, known := d.longest()
	require.True(t, known)
	require.Equal(t, time.Second, longest)
}

func TestCloneSharesNoSamples(t *testing.T) {
	d := observed(maxSamples, time.Second)
	clone := d.Clone()
	d.Add(time.Hour)
	longest, _ := clone.longest()
	require.Equal(t, time.Second, longest)
}
