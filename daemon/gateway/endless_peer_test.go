package gateway

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/endless"
	"currantusher.dev/core/httpcall"
	"currantusher.dev/core/netdial"
	"currantusher.dev/tables/watch"
)

func TestEntryWithAnAnswerWithoutEndTakesNoMoreThanItsBound(t *testing.T) {
	answers := endless.Heads()
	answers["body in chunks"], answers["body without length"] = endless.Bodies()["chunks"], endless.Bodies()["unframed"]
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			server, err := endless.Start(answer)
			require.NoError(t, err)
			g := &Gateway{}
			client := httpcall.New(httpcall.Config{Dial: netdial.New(time.Second).DialContext})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err = g.fetchTable(t.Context(), client, server.Addr, watch.OperatorTable)
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			_, sent := server.Close()
			t.Logf("%d bytes sent, %d allocated", sent, after.TotalAlloc-before.TotalAlloc)
			require.LessOrEqual(t, sent, 2*maxSnapshotBytes+endless.BufferedBytes)
			require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(8*maxSnapshotBytes))
		})
	}
}
