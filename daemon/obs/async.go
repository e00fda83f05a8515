package obs

import (
	"io"
	"sync/atomic"
)

// AsyncWriter hands lines to a slow writer without ever blocking: when its
// buffer is full, lines are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter starts a writer to out that holds up to capacity lines.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, capacity), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			if _, err := out.Write(line); err != nil {
				// There is nowhere to report a log that can't be written.
				w.dropped.Add(1)
			}
		}
	}()
	return w
}

// Write implements io.Writer. It keeps a copy of the line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were lost.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what is held. Write must not be called any more.
func (w *AsyncWriter) Close() error {
	close(w.lines)
	<-w.done
	return nil
}
