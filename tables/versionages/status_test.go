package versionages

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/oddstatus"
)

func TestAgesWithAnotherStatusThan200AreAnError(t *testing.T) {
	body, err := cbor.Marshal(message{})
	require.NoError(t, err)
	for line, answer := range oddstatus.WithStatuses("", string(body), 201, 202, 204, 206, 299, 300, 304, 399, 400, 404, 410, 429, 500, 503, 599) {
		server, err := oddstatus.Start(answer, "")
		require.NoError(t, err)
		_, err = NewClient(nil).Exchange(t.Context(), server.Addr, func() []Age { return nil })
		server.Close()
		require.Error(t, err, line)
	}
}
