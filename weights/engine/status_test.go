package engine

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/cutanswer"
	"currantusher.dev/core/oddstatus"
)

func TestStatusThatProvesNothingIsNeitherASuccessNorARefusal(t *testing.T) {
	for kind, c := range cutCalls {
		for line, answer := range oddstatus.WithStatuses("", c.body, 202, 203, 205, 206, 226, 299, 300, 302, 304, 307, 399, 500, 502, 504, 599) {
			t.Run(kind+"/"+line, func(t *testing.T) {
				err := callCut(t, c.call, answer, cutanswer.Cut{Bytes: len(answer)})
				require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(err), "%v", err)
			})
		}
	}
}
