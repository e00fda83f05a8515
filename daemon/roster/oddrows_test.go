package roster

import (
	"context"
	"math"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/weights/staging"
)

// pageReader returns the same page for each read.
type pageReader struct{ page rowstore.Page }

func (r *pageReader) ReadAll(context.Context, string) (rowstore.Page, error) { return r.page, nil }

func encode(t *testing.T, value any) []byte {
	t.Helper()
	text, err := cbor.Marshal(value)
	require.NoError(t, err)
	return text
}

// undecodable returns values that are not those of a daemon.
func undecodable(t *testing.T, good []byte) map[string][]byte {
	t.Helper()
	return map[string][]byte{
		"empty": nil, "bytes": []byte("\xff\xfe\x00"), "json": []byte(`{"id":"x"}`), "array": encode(t, []int{1}), "text": encode(t, "x"),
		"cut off": good[:len(good)/2], "trailing": append(append([]byte{}, good...), 0), "nested": []byte(strings.Repeat("\x81", 100_000) + "\x00"),
		"nested unknown field": append([]byte("\xa1\x18\x63"), strings.Repeat("\x81", 100_000)+"\x00"...),
		"huge array":           []byte("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"), "huge text": []byte("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff"),
		"another type": encode(t, map[int]any{1: 7, 2: "x"}), "not UTF-8": []byte("\xa1\x01\x62\xc3\x28"),
	}
}

func readOdd[T any](t *testing.T, table string, rows ...rowstore.Row) ([]T, int) {
	t.Helper()
	logger, hook := logtest.NewNullLogger()
	r := New[T](nil, table, logrus.NewEntry(logger))
	r.ReadFrom(&pageReader{page: rowstore.Page{Rows: rows}})
	var daemons []T
	for range 3 {
		var err error
		daemons, err = r.Read(t.Context())
		require.NoError(t, err)
	}
	return daemons, len(hook.AllEntries())
}

func TestOddRowsOfEntriesAreIgnoredAndLoggedOnce(t *testing.T) {
	good := gossip.Member{ID: "e-1", Incarnation: 1, PeerAddr: "10.0.0.1:7700", CallerAddr: "10.0.0.1:8005"}
	values := undecodable(t, encode(t, good))
	for name, change := range map[string]func(*gossip.Member){
		"no id": func(m *gossip.Member) { m.ID = "" }, "the id of another": func(m *gossip.Member) { m.ID = "e-1" },
		"no address": func(m *gossip.Member) { m.PeerAddr = "" }, "host": func(m *gossip.Member) { m.PeerAddr = "host.example:7700" },
		"port 0": func(m *gossip.Member) { m.PeerAddr = "10.0.0.2:0" }, "port 65536": func(m *gossip.Member) { m.PeerAddr = "10.0.0.2:65536" },
		"cores": func(m *gossip.Member) { m.Cores = math.NaN() }, "rate": func(m *gossip.Member) { m.RequestsPerSecond = math.Inf(1) },
	} {
		odd := good
		odd.ID, odd.PeerAddr = "e-2", "10.0.0.2:7700"
		change(&odd)
		values[name] = encode(t, odd)
	}
	for name, value := range values {
		entries, logged := readOdd[gossip.Member](t, EntriesTable, rowstore.Row{Key: "e-1", Value: encode(t, good)}, rowstore.Row{Key: "e-2", Value: value, Revision: 2})
		require.Equal(t, []gossip.Member{good}, entries, name)
		require.Equal(t, 1, logged, name)
	}
}

func TestOddRowsOfAgentsAreIgnoredAndLoggedOnce(t *testing.T) {
	good := staging.Agent{ID: "a-1", Addr: "10.0.0.1:7700", Service: "llm"}
	values := undecodable(t, encode(t, good))
	for name, odd := range map[string]staging.Agent{
		"no id": {Addr: "10.0.0.2:7700"}, "the id of another": {ID: "a-1", Addr: "10.0.0.2:7700"}, "no address": {ID: "a-2"},
		"host": {ID: "a-2", Addr: "host.example:7700"}, "path": {ID: "a-2", Addr: "10.0.0.2:7700/x"}, "port": {ID: "a-2", Addr: "10.0.0.2:99999999999"},
	} {
		values[name] = encode(t, odd)
	}
	for name, value := range values {
		agents, logged := readOdd[staging.Agent](t, AgentsTable, rowstore.Row{Key: "a-1", Value: encode(t, good)}, rowstore.Row{Key: "a-2", Value: value, Revision: 2})
		require.Equal(t, []staging.Agent{good}, agents, name)
		require.Equal(t, 1, logged, name)
	}
}

func TestOddRowIsLoggedAgainWhenItChanges(t *testing.T) {
	logger, hook := logtest.NewNullLogger()
	r := New[staging.Agent](nil, AgentsTable, logrus.NewEntry(logger))
	reader := &pageReader{}
	r.ReadFrom(reader)
	good := rowstore.Row{Key: "a-1", Value: encode(t, staging.Agent{ID: "a-1", Addr: "10.0.0.1:7700"}), Revision: 3}
	for i, rows := range [][]rowstore.Row{{{Key: "a-1", Revision: 1}}, {{Key: "a-1", Revision: 2}}, {good}, {}, {{Key: "a-1", Revision: 4}}} {
		reader.page.Rows = rows
		agents, err := r.Read(t.Context())
		require.NoError(t, err)
		require.Len(t, agents, map[bool]int{true: 1}[i == 2], "a later good row counts")
	}
	require.Len(t, hook.AllEntries(), 3)
}
