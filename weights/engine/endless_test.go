package engine

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/endless"
	"currantusher.dev/core/httpcall"
)

func TestEngineWithAnAnswerWithoutEndTakesNoMoreThanItsBound(t *testing.T) {
	for name, answer := range map[string]endless.Answer{
		"short lines": endless.Heads()["short lines"], "head of a 1xx": endless.Heads()["head of a 1xx"], "status line": endless.Heads()["status line"],
		"chunks": endless.Bodies()["chunks"], "unframed": endless.Bodies()["unframed"], "trailer": endless.BodyFramings()["trailer"],
	} {
		t.Run(name, func(t *testing.T) {
			server, err := endless.Start(answer)
			require.NoError(t, err)
			client := New("http://"+server.Addr, nil)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err = client.State(t.Context())
			require.Error(t, err)
			err = client.PutChunk(t.Context(), core.Digest{}, []byte("x"))
			require.Error(t, err)
			runtime.ReadMemStats(&after)
			_, sent := server.Close()
			require.LessOrEqual(t, sent, httpcall.MaxHeadBytes+2*maxStateBytes+endless.BufferedBytes)
			require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(128*httpcall.MaxHeadBytes+16*maxStateBytes))
		})
	}
}
