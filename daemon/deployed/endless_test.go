package deployed

import (
	"net/http"
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/standin"
)

// endlessAllocs bounds what all processes of a deployment allocate beside the answers
// without end of one server.
const endlessAllocs = 256 << 20

func TestAnswersWithoutEndOfOneServerLeaveOtherCallersServed(t *testing.T) {
	const concurrent = 8
	for name, fault := range map[string]standin.AnswerFault{"head": standin.AnswerEndlessHead, "body": standin.AnswerEndlessBody} {
		t.Run(name, func(t *testing.T) {
			d := startDeployment(t)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			d.engines[0].InjectAnswers(fault, concurrent)
			streams, others := make([]callResult, concurrent), make([]callResult, concurrent)
			var calls sync.WaitGroup
			for i := range concurrent {
				calls.Go(func() { streams[i] = d.stream(0, "/s/x")() })
				calls.Go(func() { others[i] = d.plain(0, "/look")() })
			}
			calls.Wait()
			runtime.ReadMemStats(&after)
			for _, result := range others {
				require.True(t, isWholePlain(result), "%+v", result)
			}
			for _, result := range streams {
				isRefused := result.status == http.StatusBadGateway || result.status == http.StatusServiceUnavailable
				require.True(t, isWholeStream(result) || isRefused, "%+v", result)
			}
			require.Less(t, d.engines[0].AnswerFaultsLeft(), concurrent, "no request reached the server")
			require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(endlessAllocs))
			for entry := range 2 {
				require.True(t, isWholePlain(d.plain(entry, "/look")()))
			}
		})
	}
}
