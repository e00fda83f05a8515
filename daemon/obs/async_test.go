package obs

import (
	"bytes"
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
	require.Equal(t, 10, bytes.Count(out.Bytes(), []byte("\n"))+int(writer.Dropped()))
}
