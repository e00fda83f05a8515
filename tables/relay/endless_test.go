package relay

import (
	"context"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/cutanswer"
	"currantusher.dev/core/endless"
	"currantusher.dev/core/httpcall"
	"currantusher.dev/platform/rowstore"
)

// allocsPerByte and allocsPerCall bound the memory that a call allocates for a byte of an
// answer and beside it.
const (
	allocsPerByte = 64
	allocsPerCall = 256 << 10
)

func allocated(call func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

func TestRelayWithAnAnswerWithoutEndTakesNoMoreThanItsBound(t *testing.T) {
	bodies := endless.Bodies()
	// Errors are known by their status, without their bodies.
	delete(bodies, "unframed 500")
	// The time of a call may end before the bytes that it may take.
	delete(bodies, "small chunks")
	for part, answers := range map[httpcall.Part]map[string]endless.Answer{
		httpcall.PartHead: endless.Heads(), httpcall.PartBody: bodies, "": endless.BodyFramings(),
	} {
		for name, answer := range answers {
			t.Run(string(part)+"/"+name, func(t *testing.T) {
				server, err := endless.Start(answer)
				require.NoError(t, err)
				bytes := allocated(func() { _, err = newClient(nil).readAll(t.Context(), server.Addr, table, 1) })
				require.Error(t, err)
				var tooLarge *httpcall.TooLargeError
				if part != "" {
					require.ErrorAs(t, err, &tooLarge)
					require.Equal(t, part, tooLarge.Part)
				}
				_, sent := server.Close()
				t.Logf("%d bytes sent, %d allocated", sent, bytes)
				maxBody := 0
				if part == httpcall.PartBody {
					maxBody = maxResponseBytes
				}
				require.LessOrEqual(t, sent, httpcall.MaxHeadBytes+2*maxBody+endless.BufferedBytes)
				require.LessOrEqual(t, bytes, uint64(allocsPerByte*httpcall.MaxHeadBytes+8*maxBody+allocsPerCall))
			})
		}
	}
}

func TestCompressedAnswerTakesNoMoreThanItsBound(t *testing.T) {
	answer, err := endless.Compressed(16 * maxResponseBytes)
	require.NoError(t, err)
	require.Less(t, len(answer), maxResponseBytes, "the bound on the compressed body is not reached")
	server, err := cutanswer.Start(answer, cutanswer.Closed)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	bytes := allocated(func() {
		_, err = newClient(nil).readChanges(context.WithoutCancel(t.Context()), server.Addr, table, rowstore.Position{}, 0)
	})
	var tooLarge *httpcall.TooLargeError
	require.ErrorAs(t, err, &tooLarge)
	require.Equal(t, httpcall.PartDecoded, tooLarge.Part)
	require.LessOrEqual(t, bytes, uint64(8*maxResponseBytes+allocsPerCall))
}
