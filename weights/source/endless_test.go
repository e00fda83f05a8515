package source

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/endless"
	"currantusher.dev/core/httpcall"
)

func TestSourceWithAnAnswerWithoutEndTakesNoMoreThanItsBound(t *testing.T) {
	for name, answer := range map[string]endless.Answer{
		"short lines": endless.Heads()["short lines"], "head of a 1xx": endless.Heads()["head of a 1xx"], "status line": endless.Heads()["status line"],
		"chunks": endless.Bodies()["chunks"], "unframed": endless.Bodies()["unframed"], "trailer": endless.BodyFramings()["trailer"],
	} {
		t.Run(name, func(t *testing.T) {
			server, err := endless.Start(answer)
			require.NoError(t, err)
			client, err := New(Config{URL: "http://" + server.Addr})
			require.NoError(t, err)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err = client.Manifest(t.Context(), core.Digest{})
			require.Error(t, err)
			runtime.ReadMemStats(&after)
			_, sent := server.Close()
			require.LessOrEqual(t, sent, httpcall.MaxHeadBytes+2*maxManifestBytes+endless.BufferedBytes)
			require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(64*httpcall.MaxHeadBytes+8*maxManifestBytes))
		})
	}
}
