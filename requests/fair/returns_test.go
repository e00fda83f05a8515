package fair

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

// loadTest plays callers that are refused and come back once, as on the operators'
// platform, where they wait for up to a third of the time that they have left.
type loadTest struct {
	queue *Queue
	// served counts the requests that ended in time or late, and refused those that
	// were refused twice.
	mu                    sync.Mutex
	onTime, late, refused int
	runTime, budget, aim  time.Duration
	capacity              func(time.Duration) int
	closure               func(time.Time) *Closure
	arrivalsPerSecond     float64
	length                time.Duration
	startedAt             time.Time
	callers               sync.WaitGroup
}

const callerWaitFraction = 1.0 / 3

func (l *loadTest) run(ctx context.Context) {
	l.startedAt = time.Now()
	l.queue = New(Config{
		Capacity: func() int { return l.capacity(time.Since(l.startedAt)) }, MaxRetryAfter: time.Second, ExpectedRunTime: l.runTime,
		OutageWait: 1500 * time.Millisecond, UpdatePeriod: 50 * time.Millisecond, MaxWaitFraction: callerWaitFraction,
	})
	if l.closure != nil {
		l.queue.config.Closure = func() *Closure { return l.closure(l.startedAt) }
	}
	queueCtx, stop := context.WithCancel(ctx)
	go func() { _ = l.queue.Run(queueCtx) }()
	random := rand.New(rand.NewPCG(7, 7))
	for time.Since(l.startedAt) < l.length {
		time.Sleep(time.Duration(random.ExpFloat64() / l.arrivalsPerSecond * float64(time.Second)))
		l.callers.Go(func() { l.call(ctx) })
	}
	l.callers.Wait()
	stop()
	synctest.Wait()
}

func (l *loadTest) call(ctx context.Context) {
	arrivedAt := time.Now()
	deadline := arrivedAt.Add(l.budget)
	request := Request{Team: "a", Deadline: deadline, StartBy: arrivedAt.Add(l.aim)}
	for attempt := range 2 {
		grant, err := l.queue.Acquire(ctx, request)
		if err == nil {
			time.Sleep(l.runTime)
			grant.Release(true)
			l.count(time.Since(arrivedAt) <= l.aim+l.runTime)
			return
		}
		if attempt == 0 {
			time.Sleep(min(core.RetryAfterOf(err), time.Duration(callerWaitFraction*float64(time.Until(deadline)))))
			request = Request{Team: "a", Deadline: deadline, Late: true}
		}
	}
	l.mu.Lock()
	l.refused++
	l.mu.Unlock()
}

func (l *loadTest) count(onTime bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if onTime {
		l.onTime++
	} else {
		l.late++
	}
}

func playLoad(t *testing.T, capacity func(time.Duration) int) (result *loadTest) {
	synctest.Test(t, func(t *testing.T) {
		result = &loadTest{
			runTime: time.Second, budget: 6 * time.Second, aim: 200 * time.Millisecond,
			capacity: capacity, arrivalsPerSecond: 100, length: 15 * time.Second,
		}
		result.run(t.Context())
		t.Logf("%d on time, %d late, %d refused twice", result.onTime, result.late, result.refused)
	})
	return result
}

// Callers that were refused in an outage used to come back within it, and were refused
// again: 287 of them.
func TestCallersComeBackAfterAnOutage(t *testing.T) {
	const outage = 4 * time.Second
	result := playLoad(t, func(at time.Duration) int {
		if at > 4*time.Second && at < 4*time.Second+outage {
			return 0
		}
		return 130
	})
	// The callers of the last part of the outage come back after its end; they wait
	// for 1 to 2 s.
	meanWait := 1500 * time.Millisecond
	require.LessOrEqual(t, result.refused, int(result.arrivalsPerSecond*(outage-meanWait).Seconds()))
}

// With 1.25 times the load that the servers bear, callers that came back late used to
// take the slots of new ones: 882 of 1,200 were on time.
func TestOverloadedServersServeCallersOnTime(t *testing.T) {
	const capacity = 80
	result := playLoad(t, func(time.Duration) int { return capacity })
	possible := capacity * result.length.Seconds() / result.runTime.Seconds()
	require.GreaterOrEqual(t, float64(result.onTime), (1-onTimeReserve)*possible)
	require.Positive(t, result.late, "free slots are used")
}

// A load that the servers bear on average must be served, also if it comes in waves.
func TestCallersOfAWaveAreServedLater(t *testing.T) {
	result := playLoad(t, func(at time.Duration) int {
		if int(at.Seconds())%3 == 0 {
			return 50
		}
		return 130
	})
	require.Zero(t, result.refused)
}
