package gateway

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/cutanswer"
	"currantusher.dev/core/oddstatus"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/tables/watch"
)

func TestRowsOfAPeerWithAnotherStatusThan200AreNotImported(t *testing.T) {
	body, err := cbor.Marshal(watch.Snapshot{Table: watch.ServersTable, Era: 1, NewestRevision: 5, Cursor: 5, Rows: []rowstore.Row{}})
	require.NoError(t, err)
	for line, answer := range oddstatus.WithStatuses("", string(body), 201, 202, 206, 299, 300, 399, 400, 404, 429, 500, 503, 599) {
		t.Run(line, func(t *testing.T) {
			position, err := fetchCut(t, answer, cutanswer.Cut{Bytes: len(answer)})
			require.Error(t, err)
			require.Zero(t, position)
		})
	}
}
