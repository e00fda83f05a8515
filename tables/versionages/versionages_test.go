package versionages

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/core/httpcall"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/standin"
	"currantusher.dev/tables/watch"
)

const inForceWithin = 8 * time.Second

var start = time.Unix(1000, 0)

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// daemon is a daemon with a clock of its own.
type daemon struct {
	now      time.Time
	follower *watch.Follower
}

func newDaemon() *daemon {
	d := &daemon{now: start}
	d.follower = watch.NewFollower(watch.Config{Now: func() time.Time { return d.now }, Log: discardLogger()})
	return d
}

// read lets the daemon read a version after a time in which it ran.
func (d *daemon) read(version int, after time.Duration) {
	for end := d.now.Add(after); d.now.Before(end); d.now = d.now.Add(100 * time.Millisecond) {
		d.follower.Import(watch.Snapshot{})
	}
	revision := uint64(4 + version)
	row := rowstore.Row{Table: watch.OperatorTable, Key: standin.VersionKey("m"), Value: standin.VersionRow("m", version), Revision: revision}
	d.follower.Import(watch.Snapshot{Table: watch.OperatorTable, NewestRevision: revision, Cursor: revision, Rows: []rowstore.Row{row}})
}

func (d *daemon) known() []Age { return Known(d.follower.View(), d.now, inForceWithin) }

func (d *daemon) clockNow() time.Time { return d.now }

func (d *daemon) receive(ages []Age, at time.Time) {
	Report(d.follower, watch.SourceEntry, ages, at, at)
}

func noAges() []Age { return nil }

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// exchange lets an agent exchange ages with an entry.
func exchange(t *testing.T, agent, entry *daemon) {
	t.Helper()
	ages, err := NewClient(nil).Exchange(t.Context(), serve(t, Handler(entry.known, entry.receive, entry.clockNow, discardLogger())), agent.known)
	require.NoError(t, err)
	agent.receive(ages, agent.now)
}

func TestAgentWhoseRelayStoodStillLearnsTheAgeOfAVersionFromAnEntry(t *testing.T) {
	agent, entry := newDaemon(), newDaemon()
	agent.read(1, 0)
	entry.read(1, 0)
	entry.read(2, time.Second)
	entry.now = start.Add(6 * time.Second)
	agent.read(2, 6*time.Second)
	require.Equal(t, start.Add(6*time.Second), agent.follower.View().NewestTarget("m").Since)
	exchange(t, agent, entry)
	require.Equal(t, start.Add(time.Second), agent.follower.View().NewestTarget("m").Since)
}

func TestEntryThatRestartedLearnsTheAgeOfAVersionFromAnAgent(t *testing.T) {
	agent, entry := newDaemon(), newDaemon()
	agent.read(1, 0)
	agent.read(2, time.Second)
	agent.now = start.Add(3 * time.Second)
	entry.now = start.Add(3 * time.Second)
	entry.read(2, 0)
	require.EqualValues(t, 2, entry.follower.View().RequiredVersion(entry.now, "m", inForceWithin))
	exchange(t, agent, entry)
	require.EqualValues(t, 0, entry.follower.View().RequiredVersion(start.Add(8900*time.Millisecond), "m", inForceWithin))
	require.EqualValues(t, 2, entry.follower.View().RequiredVersion(start.Add(9*time.Second), "m", inForceWithin))
}

func TestEntryThatStoodStillWhenAVersionWasAcceptedLearnsItsAgeFromAnAgent(t *testing.T) {
	agent, entry := newDaemon(), newDaemon()
	agent.read(1, 0)
	agent.read(2, 2*time.Second)
	entry.read(1, 0)
	entry.now = start.Add(4 * time.Second)
	agent.now = entry.now
	entry.read(2, 0)
	require.EqualValues(t, 2, entry.follower.View().RequiredVersion(start.Add(8*time.Second), "m", inForceWithin), "no other entry knows the age")
	exchange(t, agent, entry)
	require.EqualValues(t, 1, entry.follower.View().RequiredVersion(start.Add(9900*time.Millisecond), "m", inForceWithin))
	require.EqualValues(t, 2, entry.follower.View().RequiredVersion(start.Add(10*time.Second), "m", inForceWithin))
}

func TestEntryThatRestartedDoesNotCountFromTheTimeAtWhichAnAgentReadLate(t *testing.T) {
	agent, informed, restarted := newDaemon(), newDaemon(), newDaemon()
	agent.read(1, 0)
	informed.read(1, 0)
	informed.read(2, time.Second)
	agent.read(2, 7*time.Second)
	restarted.now = agent.now
	restarted.read(2, 0)
	for _, entry := range []*daemon{restarted, informed, restarted} {
		entry.now = agent.now
		exchange(t, agent, entry)
		require.EqualValues(t, 2, restarted.follower.View().RequiredVersion(start.Add(9*time.Second), "m", inForceWithin))
	}
	require.Equal(t, start.Add(time.Second), restarted.follower.View().NewestTarget("m").Since)
}

func TestUnknownAndEstimatedAgesAreNotSent(t *testing.T) {
	d := newDaemon()
	d.read(1, 0)
	require.Empty(t, d.known())
	d.now = d.now.Add(4 * time.Second)
	d.read(2, 0)
	require.Empty(t, d.known(), "the version was accepted during a standstill")
}

func TestVersionsThatWaitForTheirTimeAreSentBeforeOthers(t *testing.T) {
	view := &watch.View{Targets: map[fleet.Model][]watch.TargetVersion{}}
	for i := range 2 * maxAges {
		model := fleet.Model(fmt.Sprintf("m-%d", i))
		view.Targets[model] = []watch.TargetVersion{{Version: 1, Since: start.Add(-time.Hour)}}
		if i < 10 {
			view.Targets[model] = append(view.Targets[model], watch.TargetVersion{Version: 2, Since: start})
		}
	}
	ages := Known(view, start.Add(time.Second), inForceWithin)
	require.Len(t, ages, maxAges)
	for _, age := range ages[:10] {
		require.EqualValues(t, 2, age.Version)
	}
}

func TestBuildWithoutExchangesIsRecognised(t *testing.T) {
	addr := serve(t, http.NewServeMux())
	_, err := NewClient(nil).Exchange(t.Context(), addr, noAges)
	require.ErrorIs(t, err, ErrUnsupported)
}

func TestAnswerBeyondItsBoundIsRefused(t *testing.T) {
	addr := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte{0x80}, MaxBodyBytes+1))
	}))
	_, err := NewClient(nil).Exchange(t.Context(), addr, noAges)
	var tooLarge *httpcall.TooLargeError
	require.ErrorAs(t, err, &tooLarge)
}

func TestMalformedAndInvalidAgesAreDropped(t *testing.T) {
	d := newDaemon()
	handler := Handler(d.known, func(ages []Age, _ time.Time) { require.Empty(t, ages) }, d.clockNow, discardLogger())
	addr := serve(t, handler)
	_, err := NewClient(nil).Exchange(t.Context(), addr, func() []Age {
		return []Age{{Model: "m", Version: 0, Age: 1}, {Model: "m", Version: 1, Age: -1}}
	})
	require.NoError(t, err)
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest(http.MethodPost, Path, strings.NewReader("\xff")))
	require.Equal(t, http.StatusBadRequest, response.Code)
}

func TestLongestListOfAgesIsWithinTheBoundOfAMessage(t *testing.T) {
	var sent []Age
	for range maxAges {
		sent = append(sent, Age{Model: fleet.Model(strings.Repeat("m", 200)), Version: 1 << 40, Age: time.Hour})
	}
	var received []Age
	addr := serve(t, Handler(func() []Age { return nil }, func(ages []Age, _ time.Time) { received = ages }, time.Now, discardLogger()))
	_, err := NewClient(nil).Exchange(t.Context(), addr, func() []Age { return sent })
	require.NoError(t, err)
	require.Equal(t, sent, received)
}

func TestMergedVersionsAreReportedWithTheOldestOne(t *testing.T) {
	d := newDaemon()
	d.read(3, 0)
	addr := serve(t, Handler(func() []Age { return []Age{{Model: "m", Version: 3, Age: time.Second, First: 2}} }, d.receive, d.clockNow, discardLogger()))
	ages, err := NewClient(nil).Exchange(t.Context(), addr, noAges)
	require.NoError(t, err)
	require.EqualValues(t, 2, ages[0].First)
}

func TestAgesAreNotSentAfterAStandstillSinceTheyWereTaken(t *testing.T) {
	var received []Age
	addr := serve(t, Handler(noAges, func(ages []Age, _ time.Time) { received = ages }, time.Now, discardLogger()))
	_, err := NewClient(nil).Exchange(t.Context(), addr, func() []Age {
		time.Sleep(callTimeout)
		return []Age{{Model: "m", Version: 2, Age: time.Second}}
	})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Empty(t, received)
}
