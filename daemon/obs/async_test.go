package obs

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

func TestAsyncWriterDropsLinesInsteadOfBlocking(t *testing.T) {
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
	require.Contains(t, out.String(), fmt.Sprintf(`"lines":%d`, writer.Dropped()), "the number of dropped lines is logged")
}

// TestAsyncWriterDropsInfoLinesFirst checks that info lines cannot fill the part of
// the buffer that is reserved for warnings and errors.
func TestAsyncWriterDropsInfoLinesFirst(t *testing.T) {
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
