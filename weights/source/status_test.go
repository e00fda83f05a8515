package source

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/cutanswer"
	"currantusher.dev/core/oddstatus"
)

func TestStatusThatProvesNothingIsNeitherASuccessNorARefusal(t *testing.T) {
	for kind, call := range cutCalls {
		for line, answer := range oddstatus.WithStatuses("", cutContent, 202, 203, 205, 206, 226, 299, 300, 302, 304, 307, 399) {
			t.Run(kind+"/"+line, func(t *testing.T) {
				err := callCut(t, call, answer, cutanswer.Cut{Bytes: len(answer)})
				require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(err), "%v", err)
			})
		}
	}
	for line, answer := range oddstatus.WithStatuses("", "", 201, 202, 204, 206, 299, 300, 304, 399) {
		t.Run("has chunk/"+line, func(t *testing.T) {
			err := callCut(t, func(t *testing.T, c *Client) error {
				held, err := c.HasChunk(t.Context(), core.DigestOf([]byte(cutContent)))
				require.False(t, held)
				return err
			}, answer, cutanswer.Cut{Bytes: len(answer)})
			require.Error(t, err, "it is unknown whether the chunk is there")
		})
	}
}
