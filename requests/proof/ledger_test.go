package proof

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/requests/ledger"
)

func startLedger(t *testing.T, s *store, entry string, configure func(*ledger.Config)) *ledger.Ledger {
	t.Helper()
	config := ledger.Config{Tables: s, Entry: entry}
	if configure != nil {
		configure(&config)
	}
	l := ledger.New(config)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l
}

func testKey(n int) ledger.Key { return ledger.Key{Team: "aare", Route: "lots", Key: fmt.Sprint(n)} }

var bodyDigest = core.DigestOf([]byte("body"))

func TestLedgerRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a, b := startLedger(t, s, "a", nil), startLedger(t, s, "b", nil)
		first, err := a.Claim(t.Context(), testKey(1), bodyDigest, "a.1")
		require.NoError(t, err)
		require.Nil(t, first.Stored)

		_, err = b.Claim(t.Context(), testKey(1), bodyDigest, "b.1")
		require.Equal(t, core.CodeInProgress, core.CodeOf(err))
		require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(err))
		_, err = b.Claim(t.Context(), testKey(1), core.DigestOf([]byte("other")), "b.2")
		require.Equal(t, core.CodeKeyReused, core.CodeOf(err))

		require.NoError(t, a.FinishWait(t.Context(), first, ledger.Result{Body: []byte("lot 7"), Execution: core.ExecutionRan}))
		repeat, err := b.Claim(t.Context(), testKey(1), bodyDigest, "b.3")
		require.NoError(t, err)
		require.Equal(t, "lot 7", string(repeat.Stored.Body))
	})
}

func TestLedgerReleaseIncrementsGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a, b := startLedger(t, s, "a", nil), startLedger(t, s, "b", nil)
		first, err := a.Claim(t.Context(), testKey(1), bodyDigest, "a.1")
		require.NoError(t, err)
		require.NoError(t, a.Release(t.Context(), first))
		second, err := b.Claim(t.Context(), testKey(1), bodyDigest, "b.1")
		require.NoError(t, err)
		require.Equal(t, 2, second.Generation())
		require.Error(t, a.Release(t.Context(), first), "the first claim is no longer held")
		_, err = a.Claim(t.Context(), testKey(1), bodyDigest, "a.2")
		require.Equal(t, core.CodeInProgress, core.CodeOf(err))
	})
}

// TestLedgerGroupCommit checks that claims share transactions and that a
// conflict on one key does not fail the claims of other keys.
func TestLedgerGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a, b := startLedger(t, s, "a", nil), startLedger(t, s, "b", nil)
		_, err := b.Claim(t.Context(), testKey(7), bodyDigest, "b.1")
		require.NoError(t, err)
		const claims = 100
		errs := make([]error, claims)
		var wg sync.WaitGroup
		for i := range claims {
			wg.Go(func() { _, errs[i] = a.Claim(t.Context(), testKey(i), bodyDigest, fmt.Sprint("a.", i)) })
		}
		wg.Wait()
		for i, err := range errs {
			if i == 7 {
				require.Equal(t, core.CodeInProgress, core.CodeOf(err))
				continue
			}
			require.NoError(t, err)
		}
		require.Less(t, s.commits, 12, "commits for %d claims", claims)
	})
}

func TestLedgerStoreFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault storeFault
		code  core.Code
	}{
		{"down", storeDown, core.CodeStoreUnavailable},
		{"hangs", storeHangs, core.CodeStoreUnavailable},
		{"slow", storeSlow, core.CodeOK},
		{"throttles", storeThrottles, core.CodeStoreThrottled},
		{"transaction lost", storeLosesTransaction, core.CodeStoreUnavailable},
		{"answer lost", storeLosesAnswer, core.CodeOK},
		{"transaction applied late", storeAppliesLate, core.CodeStoreUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				a := startLedger(t, s, "a", nil)
				s.setConstantFault(test.fault)
				started := time.Now()
				_, err := a.Claim(t.Context(), testKey(1), bodyDigest, "a.1")
				require.Equal(t, test.code, core.CodeOf(err), "%v", err)
				require.LessOrEqual(t, time.Since(started), 2*ledger.DefaultCommitTimeout)
				if err == nil {
					return
				}
				require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err))
				require.Positive(t, core.RetryAfterOf(err))
				// The refused claim does not block the key after the store recovers.
				s.setConstantFault(storeWorks)
				time.Sleep(2 * time.Second)
				_, err = a.Claim(t.Context(), testKey(1), bodyDigest, "a.2")
				require.NoError(t, err)
			})
		})
	}
}

// TestLedgerRefusesImmediatelyWhileDown checks that claims during an outage are
// refused without a long wait, and that results finished during the outage are
// stored after it.
func TestLedgerRefusesImmediatelyWhileDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a := startLedger(t, s, "a", nil)
		held, err := a.Claim(t.Context(), testKey(1), bodyDigest, "a.1")
		require.NoError(t, err)
		s.setConstantFault(storeHangs)
		_, err = a.Claim(t.Context(), testKey(2), bodyDigest, "a.2")
		require.Equal(t, core.CodeStoreUnavailable, core.CodeOf(err))
		require.NoError(t, a.Finish(held, ledger.Result{Body: []byte("lot 7")}))
		for i := range 20 {
			started := time.Now()
			_, err = a.Claim(t.Context(), testKey(100+i), bodyDigest, fmt.Sprint("a.", 100+i))
			require.Equal(t, core.CodeStoreUnavailable, core.CodeOf(err))
			require.LessOrEqual(t, time.Since(started), 2*ledger.DefaultCommitTimeout+100*time.Millisecond)
			time.Sleep(20 * time.Millisecond)
		}
		s.setConstantFault(storeWorks)
		time.Sleep(5 * time.Second)
		repeat, err := a.Claim(t.Context(), testKey(1), bodyDigest, "a.3")
		require.NoError(t, err)
		require.Equal(t, "lot 7", string(repeat.Stored.Body))
	})
}

func TestLedgerDeleteExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a := startLedger(t, s, "a", func(c *ledger.Config) { c.Retention = 2 * time.Hour })
		for i := range 10 {
			_, err := a.Claim(t.Context(), testKey(i), bodyDigest, fmt.Sprint("a.", i))
			require.NoError(t, err)
		}
		deleted, err := a.DeleteExpired(t.Context(), 1000)
		require.NoError(t, err)
		require.Zero(t, deleted)
		time.Sleep(4 * time.Hour)
		deleted, err = a.DeleteExpired(t.Context(), 1000)
		require.NoError(t, err)
		require.Equal(t, 10, deleted)
		require.Zero(t, s.rowCount(ledger.ClaimsTable))
	})
}

// BenchmarkClaims reports, in simulated time, the claims per transaction and the
// latency of a claim. A transaction takes 2 ms and each writer commits one at a
// time.
func BenchmarkClaims(b *testing.B) {
	for _, perSecond := range []int{10, 100, 1000, 4000} {
		b.Run(fmt.Sprint(perSecond, " a second"), func(b *testing.B) {
			var commits, claims int
			var waited time.Duration
			for b.Loop() {
				synctest.Test(&testing.T{}, func(*testing.T) {
					commits, claims, waited = runClaimLoad(perSecond)
				})
			}
			b.ReportMetric(float64(claims)/float64(commits), "claims/txn")
			b.ReportMetric(float64(commits)/claimLoadSeconds, "txn/s")
			b.ReportMetric(float64(waited.Milliseconds())/float64(claims), "wait-ms/claim")
		})
	}
}

const claimLoadSeconds = 5

// runClaimLoad sends claims at a constant rate and finishes each after 100 ms.
func runClaimLoad(perSecond int) (commits, claims int, waited time.Duration) {
	s := newStore()
	l := ledger.New(ledger.Config{Tables: s, Entry: "a"})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = l.Run(ctx)
		close(done)
	}()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range perSecond * claimLoadSeconds {
		time.Sleep(time.Second / time.Duration(perSecond))
		wg.Go(func() {
			started := time.Now()
			claim, err := l.Claim(ctx, testKey(i), bodyDigest, fmt.Sprint("a.", i))
			if err != nil {
				return
			}
			mu.Lock()
			claims++
			waited += time.Since(started)
			mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			_ = l.Finish(claim, ledger.Result{Body: []byte("lot")})
		})
	}
	wg.Wait()
	cancel()
	<-done
	return s.commits, claims, waited
}
