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

func runCommand(ctx context.Context, l *Lease, engine *fakeEngine, delay time.Duration) error {
	return l.Do(ctx, true, func(_ context.Context, fence core.FencingToken) error {
		time.Sleep(delay)
		if err := l.Check(time.Now()); err != nil {
			return err
		}
		engine.execute(fence)
		return nil
	})
}

func TestAcquireWaitsForPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := newFakeTables()
		server := &fakeEngine{}
		first := newLease(t, tables, "a/1")
		second := newLease(t, tables, "a/2")
		require.NoError(t, runCommand(t.Context(), first, server, 0))

		started := time.Now()
		require.NoError(t, runCommand(t.Context(), second, server, 0))
		require.GreaterOrEqual(t, time.Since(started), testTTL)
		require.Equal(t, core.FencingToken(2), second.FencingToken())
		require.Equal(t, core.CodeFenced, core.CodeOf(first.Check(time.Now())))
	})
}

func TestReleaseSkipsWaitOfNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := newFakeTables()
		server := &fakeEngine{}
		first := newLease(t, tables, "a/1")
		second := newLease(t, tables, "a/2")
		require.NoError(t, runCommand(t.Context(), first, server, 0))
		require.NoError(t, first.Release(t.Context()))
		require.Error(t, first.Check(time.Now()))

		started := time.Now()
		require.NoError(t, runCommand(t.Context(), second, server, 0))
		require.Zero(t, time.Since(started))
	})
}

func TestReleaseBeforeWaitEndsKeepsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := newFakeTables()
		first, second, third := newLease(t, tables, "a/1"), newLease(t, tables, "a/2"), newLease(t, tables, "a/3")
		_, err := first.Acquire(t.Context())
		require.NoError(t, err)
		_, err = second.Acquire(t.Context())
		require.NoError(t, err)
		require.NoError(t, second.Release(t.Context()))
		_, err = third.Acquire(t.Context())
		require.NoError(t, err)
		started := time.Now()
		require.NoError(t, third.WaitForEarlierHolders(t.Context()))
		require.GreaterOrEqual(t, time.Since(started), testTTL)
	})
}

func TestWaitCoversLongestEarlierTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := newFakeTables()
		long, err := New(Config{Tables: tables, Key: testKey, Holder: "a/1", TTL: 10 * testTTL, Margin: testMargin})
		require.NoError(t, err)
		_, err = long.Acquire(t.Context())
		require.NoError(t, err)
		_, err = newLease(t, tables, "a/2").Acquire(t.Context())
		require.NoError(t, err)
		third := newLease(t, tables, "a/3")
		_, err = third.Acquire(t.Context())
		require.NoError(t, err)
		require.NoError(t, third.WaitForEarlierHolders(t.Context()))
		require.Error(t, long.Check(time.Now()))
	})
}

func TestTermStartsWhenWriteIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := newFakeTables()
		tables.replyDelay = 2 * testTTL
		first := newLease(t, tables, "a/1")
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = first.Acquire(t.Context()) })
		time.Sleep(time.Second)
		tables.update(func(f *fakeTables) { f.replyDelay = 0 })
		require.NoError(t, runCommand(t.Context(), newLease(t, tables, "a/2"), &fakeEngine{}, 0))
		wg.Wait()
		require.Error(t, first.Check(time.Now()))
	})
}

func TestLostLeaseCancelsCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := newFakeTables()
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

func TestLeaseIsRenewedDuringLongCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := newFakeTables()
		l := newLease(t, tables, "a/1")
		require.NoError(t, runCommand(t.Context(), l, &fakeEngine{}, 10*testTTL))
		require.LessOrEqual(t, tables.writes, 10*renewalsPerTTL+1)
	})
}

// TestFaultMatrixLease injects each fault at each step of a holder's life. The
// next holder must be able to send its command in each case, and no command of
// the first holder may arrive after it.
func TestFaultMatrixLease(t *testing.T) {
	type fixture struct {
		tables *fakeTables
		first  *Lease
		server *fakeEngine
	}
	faults := []struct {
		name  string
		apply func(s fixture)
		// stops means that the first holder takes no further steps.
		stops bool
	}{
		{"killed", func(fixture) {}, true},
		{"paused past the lease", func(fixture) { time.Sleep(2 * testTTL) }, false},
		{"store down", func(s fixture) {
			s.tables.update(func(f *fakeTables) { f.down = true })
			time.AfterFunc(testTTL, func() { s.tables.update(func(f *fakeTables) { f.down = false }) })
		}, false},
		{"store slow", func(s fixture) { s.tables.update(func(f *fakeTables) { f.delay = testTTL / 4 }) }, false},
		{"answer lost after effect", func(s fixture) { s.tables.update(func(f *fakeTables) { f.loseReplies = 2 }) }, false},
		{"commit lost", func(s fixture) { s.tables.update(func(f *fakeTables) { f.dropCommits = 2 }) }, false},
		{"replaced on same address", func(s fixture) {
			_, _ = newLease(t, s.tables, "b/1").Acquire(t.Context())
		}, false},
	}
	steps := []string{"acquire", "renew", "send command", "release"}
	for _, fault := range faults {
		for faultStep := range steps {
			t.Run(fmt.Sprintf("%s/%s", steps[faultStep], fault.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithTimeout(t.Context(), 20*testTTL)
					defer cancel()
					tables := newFakeTables()
					s := fixture{tables: tables, first: newLease(t, tables, "a/1"), server: &fakeEngine{}}
					var wg sync.WaitGroup
					wg.Go(func() { runFirstHolder(ctx, s.first, s.server, faultStep, fault.stops, func() { fault.apply(s) }) })
					time.Sleep(testTTL / 2)
					second := newLease(t, tables, "a/2")
					require.NoError(t, runCommand(ctx, second, s.server, 0))
					wg.Wait()
					require.GreaterOrEqual(t, s.server.highest, second.FencingToken())
					require.Zero(t, s.server.staleCount)
					require.NoError(t, second.Release(ctx))
				})
			})
		}
	}
}

// runFirstHolder runs the steps of a holder with a fault before step faultStep.
// Errors are expected, since the holder may be fenced; the engine checks the
// order of the commands.
func runFirstHolder(ctx context.Context, l *Lease, server *fakeEngine, faultStep int, stops bool, injectFault func()) {
	steps := []func(){
		func() { _, _ = l.Acquire(ctx) },
		func() { time.Sleep(testTTL / 3); _ = l.renew(ctx) },
		func() {
			if l.WaitForEarlierHolders(ctx) == nil && l.Check(time.Now()) == nil {
				server.execute(l.FencingToken())
			}
		},
		func() { _ = l.Release(ctx) },
	}
	for i, step := range steps {
		if i == faultStep {
			injectFault()
			if stops {
				return
			}
		}
		step()
	}
}

// TestRandomLease runs several holders with random pauses and store faults. The
// engine checks that no command of an earlier holder arrives after a command of
// a later one.
func TestRandomLease(t *testing.T) {
	commandCount := 0
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			tables := newFakeTables()
			server := &fakeEngine{}
			var engineMu sync.Mutex
			var wg sync.WaitGroup
			holders := rapid.IntRange(2, 4).Draw(rt, "holders")
			for h := range holders {
				pausable := &pausableTables{Tables: tables}
				l := newLease(rt, pausable, fmt.Sprintf("a/%d", h))
				start := rapid.IntRange(0, 90).Draw(rt, "start")
				pauses := rapid.SliceOfN(rapid.IntRange(0, 70), 1, 5).Draw(rt, "pauses")
				release := rapid.Bool().Draw(rt, "release")
				wg.Go(func() {
					time.Sleep(time.Duration(start) * time.Second)
					for _, pause := range pauses {
						_ = l.Do(ctx, true, func(_ context.Context, fence core.FencingToken) error {
							pausable.pause(time.Duration(pause) * time.Second)
							engineMu.Lock()
							defer engineMu.Unlock()
							if l.Check(time.Now()) == nil {
								server.execute(fence)
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
				tables.update(func(f *fakeTables) {
					f.down = fault == 1
					f.delay = map[bool]time.Duration{true: 8 * time.Second}[fault == 2]
					if fault == 3 {
						f.loseReplies++
					}
					if fault == 4 {
						f.dropCommits++
					}
				})
			}
			tables.update(func(f *fakeTables) { f.down, f.delay = false, 0 })
			wg.Wait()
			if server.staleCount > 0 {
				rt.Fatalf("%d commands of earlier holders after a command of a later holder", server.staleCount)
			}
			commandCount += server.commandCount
		})
	})
	require.NotZero(t, commandCount)
}

// TestInvariantLeaseCheck asserts that the engine detects a stale command that
// is sent without Check, and that Check prevents it.
func TestInvariantLeaseCheck(t *testing.T) {
	for _, checked := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			tables := newFakeTables()
			server := &fakeEngine{}
			first, second := newLease(t, tables, "a/1"), newLease(t, tables, "a/2")
			fence, err := first.Acquire(t.Context())
			require.NoError(t, err)
			require.NoError(t, runCommand(t.Context(), second, server, 0))
			if !checked || first.Check(time.Now()) == nil {
				server.execute(fence)
			}
			require.Equal(t, !checked, server.staleCount > 0)
		})
	}
}
