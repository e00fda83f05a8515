package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/endless"
)

const (
	// concurrentHeads is the number of requests that 15 servers with 16 slots run at once.
	concurrentHeads = 15 * 16
	// heldPerHead bounds the memory of a head while it is read: its bytes, and for each line
	// an entry of a map with a slice. The lines of the last block are not counted yet.
	heldPerHead = 2*maxHeadBytes + 64*(maxHeadLines+readBufferBytes/len("a:\n"))
)

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// manyLines returns short header lines with different names, up to the given size.
func manyLines(size int) string {
	var lines strings.Builder
	for i := 0; lines.Len() < size-8; i++ {
		fmt.Fprintf(&lines, "x%x:\r\n", i)
	}
	return lines.String()
}

func TestHeadsThatStopBeforeTheirEndHoldBoundedMemory(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for name, head := range map[string]string{
		"short lines":        status + manyLines(maxHeadBytes-len(status)-1),
		"lines at the bound": status + manyLines(7*maxHeadLines),
		"one name":           status + strings.Repeat("a:\n", (maxHeadBytes-len(status))/3-1),
		"long line":          status + "X-A: " + strings.Repeat("x", maxHeadBytes-len(status)-8),
	} {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(Config{})
			before := heapBytes()
			var servers []net.Conn
			var calls sync.WaitGroup
			for range concurrentHeads {
				client, server := net.Pipe()
				servers = append(servers, server)
				conn := newConn(pool, "10.0.0.1:80", client)
				calls.Go(func() {
					if _, err := conn.Receive(http.MethodGet); errors.Is(err, ErrHeadTooLarge) {
						conn.Close()
					}
				})
				// A write to a pipe ends when its bytes were read.
				if _, err := io.WriteString(server, head); err != nil {
					// The head had too many lines.
					require.ErrorIs(t, err, io.ErrClosedPipe)
				}
			}
			held := int64(heapBytes()) - int64(before)
			t.Logf("%d bytes held by %d heads of %d bytes", held, concurrentHeads, len(head))
			require.LessOrEqual(t, held, int64(concurrentHeads*heldPerHead))
			for _, server := range servers {
				require.NoError(t, server.Close())
			}
			calls.Wait()
		})
	}
}

func TestFramingsWithoutEndEndTheBody(t *testing.T) {
	for name, answer := range endless.BodyFramings() {
		t.Run(name, func(t *testing.T) {
			server, err := endless.Start(answer)
			require.NoError(t, err)
			conn, err := NewPool(Config{}).Get(t.Context(), server.Addr, 0)
			require.NoError(t, err)
			require.NoError(t, conn.Send([]byte(getRequest)))
			response, err := conn.Receive(http.MethodGet)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.Error(t, err)
			conn.Close()
			_, sent := server.Close()
			require.LessOrEqual(t, sent, maxHeadBytes+endless.BufferedBytes)
		})
	}
}
