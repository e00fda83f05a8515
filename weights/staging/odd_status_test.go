package staging

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/cutanswer"
	"currantusher.dev/core/oddstatus"
)

func TestPeersAnswerWithAnotherStatusThan200IsAnError(t *testing.T) {
	for kind, call := range endlessPeerCalls(t) {
		for line, answer := range oddstatus.WithStatuses("", "\x80", 201, 202, 204, 206, 299, 300, 304, 399, 400, 404, 409, 429, 500, 503, 599) {
			require.Error(t, callCutPeer(t, call, answer, cutanswer.Cut{Bytes: len(answer)}), "%s: %s", kind, line)
		}
	}
}
