package loader

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/clock"
	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/standin"
	"currantusher.dev/tables/versionages"
	"currantusher.dev/tables/watch"
)

const testInForceWithin = 8 * time.Second

// newTestExchange returns the exchange of an agent that has read version 1 at its start, with
// an entry that knows the age of version 2. received gets what the agent sends.
func newTestExchange(t *testing.T, age time.Duration, received func([]versionages.Age, time.Time)) *ageExchange {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	mux := http.NewServeMux()
	known := func() []versionages.Age { return []versionages.Age{{Model: "m", Version: 2, Age: age}} }
	mux.Handle("POST "+versionages.Path, versionages.Handler(known, received, time.Now, log))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	entries := func(context.Context) []gossip.Member {
		return []gossip.Member{{ID: "e-1", PeerAddr: strings.TrimPrefix(server.URL, "http://")}}
	}
	c := clock.New()
	e := newAgeExchange(testInForceWithin, c, entries, func(gossip.Member) {}, nil, log)
	e.follower = watch.NewFollower(watch.Config{Now: c.Now, Log: log, OnChange: e.onChange})
	importVersion(t, e.follower, 1)
	return e
}

func importVersion(t *testing.T, follower *watch.Follower, version int) {
	t.Helper()
	revision := uint64(4 + version)
	row := rowstore.Row{Table: watch.OperatorTable, Key: standin.VersionKey("m"), Value: standin.VersionRow("m", version), Revision: revision}
	require.True(t, follower.Import(watch.Snapshot{Table: watch.OperatorTable, NewestRevision: revision, Cursor: revision, Rows: []rowstore.Row{row}}))
}

func TestAgentThatReadsAVersionLateCountsFromTheAgeThatAnEntryTells(t *testing.T) {
	e := newTestExchange(t, 5*time.Second, func([]versionages.Age, time.Time) {})
	importVersion(t, e.follower, 2)
	readAt := e.clock.Now()
	e.exchange(t.Context())
	since := e.follower.View().NewestTarget("m").Since
	require.GreaterOrEqual(t, readAt.Sub(since), 5*time.Second-e.clock.Since(readAt), "the age is as of the entry's answer")
	require.Less(t, readAt.Sub(since), 5*time.Second+time.Millisecond)
}

func TestAgentTellsEntriesTheAgesThatItKnows(t *testing.T) {
	var received []versionages.Age
	e := newTestExchange(t, 0, func(ages []versionages.Age, _ time.Time) { received = ages })
	importVersion(t, e.follower, 2)
	e.exchange(t.Context())
	require.Empty(t, received, "the agent may have read version 2 late")
	e.follower.SetVersionSince("m", 2, e.clock.Now().Add(-watch.MinReportedAge))
	e.exchange(t.Context())
	require.Len(t, received, 1, "the agent does not know the age of version 1, which it found at its start")
	require.EqualValues(t, 2, received[0].Version)
}

func TestAgesAreExchangedOnlyAfterANewVersion(t *testing.T) {
	e := newTestExchange(t, 0, func([]versionages.Age, time.Time) {})
	<-e.versionRead
	require.True(t, e.isActive())
	e.until = e.clock.Now()
	require.False(t, e.isActive())
	e.onChange(e.follower.View())
	require.False(t, e.isActive())
	importVersion(t, e.follower, 2)
	require.True(t, e.isActive())
	require.Len(t, e.versionRead, 1)
}

// Entries that had just started refused callers for up to a second: all agents had told the
// ages just before.
func TestAgentsThatStartTogetherDoNotExchangeAgesAtTheSameTimes(t *testing.T) {
	const agents, testTime = 40, 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		var mu sync.Mutex
		var exchanges []time.Duration
		for range agents {
			e := newAgeExchange(testInForceWithin, clock.New(), func(context.Context) []gossip.Member {
				mu.Lock()
				defer mu.Unlock()
				exchanges = append(exchanges, time.Since(start))
				return nil
			}, nil, nil, nil)
			e.until = e.clock.Now().Add(time.Hour)
			go func() { _ = e.run(ctx) }()
		}
		time.Sleep(testTime)
		cancel()
		synctest.Wait()
		require.InDelta(t, agents*testTime.Seconds(), len(exchanges), agents)
		last := ageExchangePeriod
		for _, at := range exchanges {
			if at > ageExchangePeriod {
				require.Less(t, at-last, ageExchangePeriod/2)
				last = at
			}
		}
		require.Less(t, testTime-last, ageExchangePeriod/2)
	})
}

// Entries refused callers until up to 1.5 s after their start, since agents had met none.
func TestAgentThatReachesNoEntryTriesAgainSoon(t *testing.T) {
	const testTime = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		attempts := 0
		e := newAgeExchange(testInForceWithin, clock.New(), func(context.Context) []gossip.Member {
			attempts++
			return []gossip.Member{{ID: "e-1", PeerAddr: testEngineAddr}}
		}, nil, nil, logrus.NewEntry(logger))
		e.follower = watch.NewFollower(watch.Config{Now: e.clock.Now, Log: logrus.NewEntry(logger)})
		e.until = e.clock.Now().Add(time.Hour)
		go func() { _ = e.run(ctx) }()
		time.Sleep(testTime)
		cancel()
		synctest.Wait()
		require.Greater(t, attempts, 2*int(testTime/ageExchangePeriod))
		require.LessOrEqual(t, attempts, 10*int(testTime/ageExchangePeriod), "entries that are down are not flooded")
	})
}
