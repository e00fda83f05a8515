package relay

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/rowstore"
)

func compressed(t *testing.T, text string) string {
	t.Helper()
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write([]byte(text))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	return b.String()
}

// A daemon reads from the store while its relay gives answers that cannot be decoded, and
// asks the relay again only after relayRetryDelay.
func TestOddAnswersOfARelayAreReplacedByTheStore(t *testing.T) {
	page, err := cbor.Marshal(rowstore.Page{Revision: 1, Rows: []rowstore.Row{{Table: table, Key: "a", Revision: 1}}})
	require.NoError(t, err)
	nested := strings.Repeat("\x81", 100_000) + "\x00"
	for name, answer := range map[string]string{
		"empty": "", "text": "rows", "cut off": string(page[:len(page)-1]), "trailing": string(page) + "\x00", "nested": nested, "nested unknown field": "\xa1\x61x" + nested,
		"huge array": "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", "negative revision": "\xa1\x68Revision\x20", "float revision": "\xa1\x68Revision\xfb\x7f\xf8\x00\x00\x00\x00\x00\x00",
		"not UTF-8 key": "\xa1\x64Rows\x81\xa1\x63Key\x62\xc3\x28", "zip": compressed(t, strings.Repeat("\x81", 1<<20)), "huge zip": compressed(t, strings.Repeat("\x00", maxResponseBytes+1)),
		"zip cut off": compressed(t, string(page))[:20],
	} {
		calls := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls++
			if strings.Contains(name, "zip") {
				w.Header().Set("Content-Encoding", contentEncoding)
			}
			_, _ = w.Write([]byte(answer))
		}))
		source, now := newFakeStore(), time.Unix(1000, 0)
		source.put("a", false)
		relays := []Member{{ID: "r", DataCentre: "a", Addr: strings.TrimPrefix(server.URL, "http://")}}
		store := NewStore(Config{
			Self: "e", Cache: NewCache(source, func() time.Time { return now }), Relays: func(context.Context) []Member { return relays },
			Log: discardLogger(), Now: func() time.Time { return now },
		})
		for range 5 {
			got, err := store.ReadAll(t.Context(), table)
			require.NoError(t, err, name)
			require.Len(t, got.Rows, 1, name)
		}
		require.Equal(t, 1, calls, name)
		now = now.Add(relayRetryDelay)
		_, err := store.Changes(t.Context(), table, rowstore.Position{}, 0)
		require.NoError(t, err, name)
		require.Equal(t, 2, calls, name)
		server.Close()
	}
}
