package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/cutanswer"
	"currantusher.dev/platform/rowstore"
)

func TestAnswerOfARelayCutAfterAnyByteIsAnError(t *testing.T) {
	page, err := cbor.Marshal(rowstore.Page{Era: 1, Revision: 7, Rows: []rowstore.Row{{Table: table, Key: "a", Revision: 7}}})
	require.NoError(t, err)
	zipHead := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Encoding: %s\r\n", contentEncoding)
	for name, c := range map[string]struct{ head, body string }{
		"plain": {"HTTP/1.1 200 OK\r\n", string(page)},
		"zip":   {zipHead, compressed(t, string(page))},
	} {
		answers := cutanswer.Framings(c.head, c.body)
		answers["unframed"] = cutanswer.Unframed(c.head, c.body)
		for framing, answer := range answers {
			t.Run(name+"/"+framing, func(t *testing.T) {
				for _, cut := range cutanswer.Cuts(answer) {
					for _, err := range readCut(t, answer, cut) {
						require.Error(t, err, cut)
					}
				}
				for _, err := range readCut(t, answer, cutanswer.Cut{Bytes: len(answer)}) {
					require.NoError(t, err)
				}
			})
		}
	}
}

// readCut returns the errors of a call for all rows and one for changes.
func readCut(t *testing.T, answer string, cut cutanswer.Cut) [2]error {
	t.Helper()
	server, err := cutanswer.Start(answer[:cut.Bytes], cut.Ending)
	require.NoError(t, err)
	defer server.Close()
	c := newClient(nil)
	defer c.http.CloseIdleConnections()
	_, allErr := c.readAll(t.Context(), server.Addr, table, 1)
	_, changesErr := c.readChanges(t.Context(), server.Addr, table, rowstore.Position{Era: 1, Revision: 6}, time.Millisecond)
	return [2]error{allErr, changesErr}
}
