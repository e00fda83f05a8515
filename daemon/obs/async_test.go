package obs

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

func TestAsyncWriterDropsInPlaceOfBlocking(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	writer := NewAsyncWriter(out, 2)
	for range 10 {
		n, err := writer.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.GreaterOrEqual(t, writer.Dropped(), int64(7))
	close(out.release)
	require.NoError(t, writer.Close())
	require.Equal(t, 10, bytes.Count(out.Bytes(), []byte("line\n"))+int(writer.Dropped()))
	require.Contains(t, out.String(), fmt.Sprintf(`"lines":%d`, writer.Dropped()), "the reader learns of the loss")
}

// Plain lines must not take the places of refusals and failures.
func TestAsyncWriterKeepsFailuresFirst(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	writer := NewAsyncWriter(out, 8)
	write := func(line string) {
		_, err := writer.Write([]byte(line + "\n"))
		require.NoError(t, err)
	}
	for range 20 {
		write(`{"level":"info","msg":"ok"}`)
	}
	write(`{"level":"warning","msg":"refused"}`)
	write(`{"level":"error","msg":"failed"}`)
	close(out.release)
	require.NoError(t, writer.Close())
	require.Contains(t, out.String(), "refused")
	require.Contains(t, out.String(), "failed")
	require.GreaterOrEqual(t, writer.Dropped(), int64(13))
}
