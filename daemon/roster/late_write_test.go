package roster

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/standin"
)

// The write has no answer, and the store performs it after the daemon has removed its row and left.
func TestLateWriteDoesNotBringBackTheRowOfADaemonThatLeft(t *testing.T) {
	store := standin.NewStore()
	var isHeld atomic.Bool
	release, performed := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || !isHeld.CompareAndSwap(false, true) {
			store.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		<-release
		late := r.Clone(context.WithoutCancel(r.Context()))
		late.Body = io.NopCloser(bytes.NewReader(body))
		store.ServeHTTP(httptest.NewRecorder(), late)
		close(performed)
	}))
	t.Cleanup(server.Close)
	client := rowstore.New(strings.TrimPrefix(server.URL, "http://"))
	log := logrus.New()
	log.SetOutput(t.Output())
	r := New[string](client, AgentsTable, logrus.NewEntry(log))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.NoError(t, r.WriteWithRetry(ctx, "a", "x"))
	require.NoError(t, r.Remove(t.Context(), "a"))
	close(release)
	<-performed
	page, err := client.ReadAll(t.Context(), AgentsTable)
	require.NoError(t, err)
	require.Empty(t, page.Rows)
}
