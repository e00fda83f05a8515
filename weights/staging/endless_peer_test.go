package staging

import (
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/endless"
	"currantusher.dev/core/fleet"
	"currantusher.dev/core/httpcall"
)

const (
	endlessPieces     = 64
	endlessPieceBytes = 32 << 10
	// allocsPerByte and allocsPerCall bound the memory that a call allocates for a byte of an
	// answer and beside it.
	allocsPerByte = 64
	allocsPerCall = 256 << 10
)

func endlessPeerCalls(t *testing.T) map[string]func(peers *HTTPPeers, peer Agent) error {
	return map[string]func(peers *HTTPPeers, peer Agent) error{
		"manifest": func(peers *HTTPPeers, peer Agent) error {
			_, err := peers.Manifest(t.Context(), peer, olderKey)
			return err
		},
		"piece": func(peers *HTTPPeers, peer Agent) error {
			_, _, err := peers.Piece(t.Context(), peer, olderKey, 0, true)
			return err
		},
		"ready": func(peers *HTTPPeers, peer Agent) error { return peers.AwaitPiece(t.Context(), peer, olderKey, 0) },
	}
}

func TestPeerWithAnAnswerWithoutEndTakesNoMoreThanItsBound(t *testing.T) {
	bounds := map[string]int{"manifest": maxEmptyBytes, "piece": endlessPieceBytes, "ready": maxEmptyBytes}
	for part, answers := range map[httpcall.Part]map[string]endless.Answer{
		httpcall.PartHead: endless.Heads(), httpcall.PartBody: endless.Bodies(), "": endless.BodyFramings(),
	} {
		for kind, call := range endlessPeerCalls(t) {
			for name, answer := range answers {
				t.Run(kind+"/"+string(part)+"/"+name, func(t *testing.T) {
					server, err := endless.Start(answer)
					require.NoError(t, err)
					peers := NewHTTPPeers()
					peers.SetWeightsSize(fleet.WeightsSize{Pieces: endlessPieces, PieceBytes: endlessPieceBytes})
					errs := make([]error, transfersPerSource)
					var before, after runtime.MemStats
					runtime.ReadMemStats(&before)
					var calls sync.WaitGroup
					for i := range errs {
						calls.Go(func() { errs[i] = call(peers, Agent{ID: "a-2", Addr: server.Addr}) })
					}
					calls.Wait()
					runtime.ReadMemStats(&after)
					_, sent := server.Close()
					t.Logf("%d bytes sent on a connection, %d allocated for %d calls", sent, after.TotalAlloc-before.TotalAlloc, len(errs))
					for _, err := range errs {
						require.Error(t, err)
						var tooLarge *httpcall.TooLargeError
						if part != "" {
							require.ErrorAs(t, err, &tooLarge)
							require.Equal(t, part, tooLarge.Part)
						}
					}
					require.LessOrEqual(t, sent, httpcall.MaxHeadBytes+6*bounds[kind]+endless.BufferedBytes)
					require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(len(errs)*(allocsPerByte*httpcall.MaxHeadBytes+8*bounds[kind]+allocsPerCall)))
				})
			}
		}
	}
}
