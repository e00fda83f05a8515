package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/clock"
	"currantusher.dev/platform/nodefile"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/standin"
	"currantusher.dev/tables/versionages"
	"currantusher.dev/tables/watch"
)

// newStartedEntry returns an entry that found version 2 configured at its start, and its
// peer address.
func newStartedEntry(t *testing.T) (*Gateway, string) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	g := &Gateway{clock: clock.New(), log: logrus.NewEntry(logger)}
	node := nodefile.Node{}
	node.Bounds.VersionInForce = 8 * time.Second
	g.node.Store(&node)
	g.follower = watch.NewFollower(watch.Config{Now: g.clock.Now, Log: g.log})
	row := rowstore.Row{Table: watch.OperatorTable, Key: standin.VersionKey("m"), Value: standin.VersionRow("m", 2), Revision: 5}
	require.True(t, g.follower.Import(watch.Snapshot{Table: watch.OperatorTable, NewestRevision: 5, Cursor: 5, Rows: []rowstore.Row{row}}))
	server := httptest.NewUnstartedServer(nil)
	server.Config = g.peerServer()
	server.Start()
	t.Cleanup(server.Close)
	return g, strings.TrimPrefix(server.URL, "http://")
}

func TestEntryThatRestartedRequiresAVersionWhenAnAgentSaysThatItMust(t *testing.T) {
	g, addr := newStartedEntry(t)
	view := g.follower.View()
	require.EqualValues(t, 2, g.requiredVersionAt(g.clock.Now(), view, "m"))
	ages, err := versionages.NewClient(nil).Exchange(t.Context(), addr, func() []versionages.Age {
		return []versionages.Age{{Model: "m", Version: 2, Age: time.Second}}
	})
	require.NoError(t, err)
	require.Len(t, ages, 1, "the entry tells the age that it has learned")
	view = g.follower.View()
	since := view.NewestTarget("m").Since
	require.EqualValues(t, 0, g.requiredVersionAt(since.Add(8*time.Second-1), view, "m"))
	require.EqualValues(t, 2, g.requiredVersionAt(since.Add(8*time.Second), view, "m"))
}

func TestEntryThatDoesNotKnowTheAgeOfAVersionTellsNone(t *testing.T) {
	_, addr := newStartedEntry(t)
	ages, err := versionages.NewClient(nil).Exchange(t.Context(), addr, func() []versionages.Age { return nil })
	require.NoError(t, err)
	require.Empty(t, ages)
}

func TestAgeThatArrivesLongAfterItsConnectionIsNotTooYoung(t *testing.T) {
	const age = time.Second
	g, addr := newStartedEntry(t)
	body, err := cbor.Marshal(map[int]any{1: []map[int]any{{1: "m", 2: 2, 3: int64(age)}}})
	require.NoError(t, err)
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /version-ages HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(body))
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "100 Continue")
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	// The sender had measured the age before it connected.
	sentAt := g.clock.Now()
	_, err = conn.Write(body)
	require.NoError(t, err)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusOK, response.StatusCode)
	since := g.follower.View().NewestTarget("m").Since
	require.False(t, since.IsZero())
	require.False(t, since.After(sentAt.Add(-age)), "%s too young", since.Sub(sentAt.Add(-age)))
}
