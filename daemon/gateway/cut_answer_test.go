package gateway

import (
	"io"
	"net/http"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/cutanswer"
	"currantusher.dev/core/httpcall"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/tables/watch"
)

// fetchCut reads a table from a peer whose answer is cut off, and returns its position then.
func fetchCut(t *testing.T, answer string, cut cutanswer.Cut) (rowstore.Position, error) {
	t.Helper()
	server, err := cutanswer.Start(answer[:cut.Bytes], cut.Ending)
	require.NoError(t, err)
	defer server.Close()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	g := &Gateway{log: log, follower: watch.NewFollower(watch.Config{Tables: []string{watch.ServersTable}, Log: log})}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	err = g.fetchTable(t.Context(), httpcall.Wrap(&http.Client{Transport: transport}, nil), server.Addr, watch.ServersTable)
	return positions(g.follower.View())[watch.ServersTable], err
}

func TestRowsOfAPeerCutAfterAnyByteAreNotImported(t *testing.T) {
	body, err := cbor.Marshal(watch.Snapshot{Table: watch.ServersTable, Era: 1, NewestRevision: 5, Cursor: 5, Rows: []rowstore.Row{}})
	require.NoError(t, err)
	answers := cutanswer.Framings("HTTP/1.1 200 OK\r\n", string(body))
	answers["unframed"] = cutanswer.Unframed("HTTP/1.1 200 OK\r\n", string(body))
	for framing, answer := range answers {
		t.Run(framing, func(t *testing.T) {
			for _, cut := range cutanswer.Cuts(answer) {
				position, err := fetchCut(t, answer, cut)
				require.Error(t, err, cut)
				require.Zero(t, position, cut)
			}
			position, err := fetchCut(t, answer, cutanswer.Cut{Bytes: len(answer)})
			require.NoError(t, err)
			require.Equal(t, rowstore.Position{Era: 1, Revision: 5}, position)
		})
	}
}
