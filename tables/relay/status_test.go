package relay

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/oddstatus"
	"currantusher.dev/platform/rowstore"
)

func TestRelaysAnswerWithAnotherStatusThan200IsAnError(t *testing.T) {
	body, err := cbor.Marshal(rowstore.Page{Era: 1, Revision: 5})
	require.NoError(t, err)
	for line, answer := range oddstatus.WithStatuses("", string(body), 201, 202, 204, 206, 299, 300, 304, 399, 400, 404, 410, 429, 500, 503, 599) {
		server, err := oddstatus.Start(answer, "")
		require.NoError(t, err)
		_, err = newClient(nil).readAll(t.Context(), server.Addr, table, 1)
		server.Close()
		require.Error(t, err, line)
	}
}
