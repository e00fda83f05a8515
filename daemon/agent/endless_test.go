package agent

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/endless"
	"currantusher.dev/core/httpcall"
	"currantusher.dev/wire"
)

func TestBackendWithAnAnswerWithoutEndTakesNoMoreThanItsBound(t *testing.T) {
	answers := endless.Heads()
	answers["chunks"], answers["unframed"] = endless.Bodies()["chunks"], endless.Bodies()["unframed"]
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			server, err := endless.Start(answer)
			require.NoError(t, err)
			b := newBackend("http://" + server.Addr)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err = b.readState(t.Context())
			require.Error(t, err)
			_, err = b.sendAttempt(t.Context(), wire.Dispatch{RequestID: "r"})
			require.Error(t, err)
			runtime.ReadMemStats(&after)
			_, sent := server.Close()
			require.LessOrEqual(t, sent, httpcall.MaxHeadBytes+2*maxStateBytes+endless.BufferedBytes)
			require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(128*httpcall.MaxHeadBytes+16*maxStateBytes))
		})
	}
}
