package lease

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var testKey = platform.RowKey{Table: "leases", Key: "backend-1"}

const (
	testTTL    = 30 * time.Second
	testMargin = 3 * time.Second
)

func newLease(t require.TestingT, tables platform.Tables, holder string) *Lease {
	l, err := New(Config{Tables: tables, Key: testKey, Holder: holder, TTL: testTTL, Margin: testMargin})
	require.NoError(t, err)
	return l
}

func act(ctx context.Context, l *Lease, e *engine, pause time.Duration) error {
	return l.Do(ctx, true, func(_ context.Context, fence core.FencingToken) error {
		time.Sleep(pause)
		if err := l.Check(time.Now()); err != nil {
			return err
		}
		e.order(fence)
		return nil
	})
}

func TestTakeOverWaitsOutThePausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := newMemoryTables()
		server := &engine{}
		first := newLease(t, tables, "a/1")
		second := newLease(t, tables, "a/2")
		require.NoError(t, act(t.Context(), first, server, 0))

		started := time.Now()
		require.NoError(t, act(t.Context(), second, server, 0))
		require.GreaterOrEqual(t, time.Since(started), testTTL)
		require.Equal(t, core.FencingToken(2), second.FencingToken())
		require.Equal(t, core.CodeFenced, core.CodeOf(first.Check(time.Now())))
	})
}

func TestReleaseSparesTheNextHolderTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := newMemoryTables()
		server := &engine{}
		first := newLease(t, tables, "a/1")
		second := newLease(t, tables, "a/2")
		require.NoError(t, act(t.Context(), first, server, 0))
		require.NoError(t, first.Release(t.Context()))
		require.Error(t, first.Check(time.Now()))

		started := time.Now()
		require.NoError(t, act(t.Context(), second, server, 0))
		require.Zero(t, time.Since(started))
	})
}

func TestReleaseBeforeWaitingOutKeepsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := newMemoryTables()
		first, second, third := newLease(t, tables, "a/1"), newLease(t, tables, "a/2"), newLease(t, tables, "a/3")
		_, err := first.Acquire(t.Context())
		require.NoError(t, err)
		_, err = second.Acquire(t.Context())
		require.NoError(t, err)
		require.NoError(t, second.Release(t.Context()))
		_, err = third.Acquire(t.Context())
		require.NoError(t, err)
		started := time.Now()
		require.NoError(t, third.WaitOut(t.Context()))
		require.GreaterOrEqual(t, time.Since(started), testTTL)
	})
}

func TestWaitCoversTheLongestEarlierTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := newMemoryTables()
		long, err := New(Config{Tables: tables, Key: testKey, Holder: "a/1", TTL: 10 * testTTL, Margin: testMargin})
		require.NoError(t, err)
		_, err = long.Acquire(t.Context())
		require.NoError(t, err)
		_, err = newLease(t, tables, "a/2").Acquire(t.Context())
		require.NoError(t, err)
		third := newLease(t, tables, "a/3")
		_, err = third.Acquire(t.Context())
		require.NoError(t, err)
		require.NoError(t, third.WaitOut(t.Context()))
		require.Error(t, long.Check(time.Now()))
	})
}

func TestTermStartsWhenTheWriteIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := newMemoryTables()
		tables.answerDelay = 2 * testTTL
		first := newLease(t, tables, "a/1")
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = first.Acquire(t.Context()) })
		time.Sleep(time.Second)
		tables.set(func(m *memoryTables) { m.answerDelay = 0 })
		require.NoError(t, act(t.Context(), newLease(t, tables, "a/2"), &engine{}, 0))
		wg.Wait()
		require.Error(t, first.Check(time.Now()))
	})
}

func TestLostLeaseCancelsTheOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := newMemoryTables()
		first, second := newLease(t, tables, "a/1"), newLease(t, tables, "a/2")
		err := first.Do(t.Context(), false, func(ctx context.Context, _ core.FencingToken) error {
			_, err := second.Acquire(ctx)
			require.NoError(t, err)
			<-ctx.Done()
			return context.Cause(ctx)
		})
		require.Equal(t, core.CodeFenced, core.CodeOf(err))
	})
}

func TestLongOrderIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := newMemoryTables()
		l := newLease(t, tables, "a/1")
		require.NoError(t, act(t.Context(), l, &engine{}, 10*testTTL))
		require.LessOrEqual(t, tables.writes, 10*renewalsPerTTL+1)
	})
}

// TestFaultMatrixLease runs every fault at every step of a lease's life. The
// next holder must give its order in each case, and never before an order of
// the first.
func TestFaultMatrixLease(t *testing.T) {
	type scene struct {
		tables *memoryTables
		first  *Lease
		server *engine
	}
	faults := []struct {
		name  string
		apply func(s scene)
		// ends says that the first holder does no more.
		ends bool
	}{
		{"killed", func(scene) {}, true},
		{"paused past the lease", func(scene) { time.Sleep(2 * testTTL) }, false},
		{"store down", func(s scene) {
			s.tables.set(func(m *memoryTables) { m.down = true })
			time.AfterFunc(testTTL, func() { s.tables.set(func(m *memoryTables) { m.down = false }) })
		}, false},
		{"store slow", func(s scene) { s.tables.set(func(m *memoryTables) { m.delay = testTTL / 4 }) }, false},
		{"answer lost after effect", func(s scene) { s.tables.set(func(m *memoryTables) { m.loseAnswers = 2 }) }, false},
		{"commit lost", func(s scene) { s.tables.set(func(m *memoryTables) { m.dropCommits = 2 }) }, false},
		{"replaced on same address", func(s scene) {
			_, _ = newLease(t, s.tables, "b/1").Acquire(t.Context())
		}, false},
	}
	steps := []string{"acquire", "renew", "act", "release"}
	for _, fault := range faults {
		for at := range steps {
			t.Run(fmt.Sprintf("%s/%s", steps[at], fault.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithTimeout(t.Context(), 20*testTTL)
					defer cancel()
					tables := newMemoryTables()
					s := scene{tables: tables, first: newLease(t, tables, "a/1"), server: &engine{}}
					var wg sync.WaitGroup
					wg.Go(func() { runFirst(ctx, s.first, s.server, at, fault.ends, func() { fault.apply(s) }) })
					time.Sleep(testTTL / 2)
					second := newLease(t, tables, "a/2")
					require.NoError(t, act(ctx, second, s.server, 0))
					wg.Wait()
					require.GreaterOrEqual(t, s.server.highest, second.FencingToken())
					require.Zero(t, s.server.stale)
					require.NoError(t, second.Release(ctx))
				})
			})
		}
	}
}

// runFirst goes through the steps of a holder with a fault before step at.
// Errors are fine: it may be fenced; orders are judged by the engine.
func runFirst(ctx context.Context, l *Lease, server *engine, at int, ends bool, fault func()) {
	steps := []func(){
		func() { _, _ = l.Acquire(ctx) },
		func() { time.Sleep(testTTL / 3); _ = l.renew(ctx) },
		func() {
			if l.WaitOut(ctx) == nil && l.Check(time.Now()) == nil {
				server.order(l.FencingToken())
			}
		},
		func() { _ = l.Release(ctx) },
	}
	for i, step := range steps {
		if i == at {
			fault()
			if ends {
				return
			}
		}
		step()
	}
}

// TestRandomLease lets several holders act at random with random faults. At
// every order the engine checks that no earlier holder acts after a later one.
func TestRandomLease(t *testing.T) {
	orders := 0
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			tables := newMemoryTables()
			server := &engine{}
			var serial sync.Mutex
			var wg sync.WaitGroup
			holders := rapid.IntRange(2, 4).Draw(rt, "holders")
			for h := range holders {
				gate := &pausable{Tables: tables}
				l := newLease(rt, gate, fmt.Sprintf("a/%d", h))
				start := rapid.IntRange(0, 90).Draw(rt, "start")
				pauses := rapid.SliceOfN(rapid.IntRange(0, 70), 1, 5).Draw(rt, "pauses")
				release := rapid.Bool().Draw(rt, "release")
				wg.Go(func() {
					time.Sleep(time.Duration(start) * time.Second)
					for _, pause := range pauses {
						_ = l.Do(ctx, true, func(_ context.Context, fence core.FencingToken) error {
							gate.pause(time.Duration(pause) * time.Second)
							serial.Lock()
							defer serial.Unlock()
							if l.Check(time.Now()) == nil {
								server.order(fence)
							}
							return nil
						})
					}
					if release {
						_ = l.Release(ctx)
					}
				})
			}
			for _, fault := range rapid.SliceOfN(rapid.IntRange(0, 4), 0, 8).Draw(rt, "faults") {
				time.Sleep(10 * time.Second)
				tables.set(func(m *memoryTables) {
					m.down = fault == 1
					m.delay = map[bool]time.Duration{true: 8 * time.Second}[fault == 2]
					if fault == 3 {
						m.loseAnswers++
					}
					if fault == 4 {
						m.dropCommits++
					}
				})
			}
			tables.set(func(m *memoryTables) { m.down, m.delay = false, 0 })
			wg.Wait()
			if server.stale > 0 {
				rt.Fatalf("%d orders of earlier holders", server.stale)
			}
			orders += server.orders
		})
	})
	require.NotZero(t, orders)
}

// TestInvariantLeaseCheck shows that an order without Check after a pause is
// noticed, and that Check prevents it.
func TestInvariantLeaseCheck(t *testing.T) {
	for _, checked := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			tables := newMemoryTables()
			server := &engine{}
			first, second := newLease(t, tables, "a/1"), newLease(t, tables, "a/2")
			fence, err := first.Acquire(t.Context())
			require.NoError(t, err)
			require.NoError(t, act(t.Context(), second, server, 0))
			if !checked || first.Check(time.Now()) == nil {
				server.order(fence)
			}
			require.Equal(t, !checked, server.stale > 0)
		})
	}
}
