package edit_test

import (
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/platform/client"
	"currantusher.dev/standin/store"
	"currantusher.dev/tables/edit"
)

// TestEditsOverHTTPWithLostReplies loses the reply of every commit that takes
// effect. Each edit must still be accepted exactly once.
func TestEditsOverHTTPWithLostReplies(t *testing.T) {
	server := store.New(store.Config{})
	listener := httptest.NewServer(server)
	defer listener.Close()
	editor := edit.New(edit.Config{Tables: client.New(client.Config{
		BaseURL:         listener.URL,
		ReadsPerSecond:  1e6,
		WritesPerSecond: 1e6,
	})})
	server.SetFaults(store.Faults{LoseAnswers: 1})
	for i := range 5 {
		result, err := editor.Apply(t.Context(), edit.Request{ID: fmt.Sprint("e", i)})
		require.NoError(t, err)
		require.Equal(t, core.Revision(i+1), result.Revision)
	}
	require.Equal(t, int64(5), server.Stats().Writes)
}
