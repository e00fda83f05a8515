package obs

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// lowPriorityFraction is the fraction of the buffer that lines of level info and
// debug may fill. The remaining space is reserved for warnings and errors.
const lowPriorityFraction = 0.75

// lowPriorityLevels are the level fields of lines that are dropped first, in the
// JSON format and in the text format.
var lowPriorityLevels = [][]byte{
	[]byte(`"level":"info"`), []byte(`"level":"debug"`), []byte("level=info"), []byte("level=debug"),
}

// AsyncWriter passes log lines to a writer that may be slow, without blocking the
// caller. When its buffer is full it drops lines, and later logs the number of
// dropped lines. Write is safe for concurrent use.
type AsyncWriter struct {
	lines               chan []byte
	lowPriorityCapacity int
	dropped             atomic.Int64
	done                chan struct{}
}

// NewAsyncWriter starts a writer to out that buffers up to capacity lines.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	w := &AsyncWriter{
		lines: make(chan []byte, capacity), lowPriorityCapacity: max(1, int(lowPriorityFraction*float64(capacity))), done: make(chan struct{}),
	}
	go w.run(out)
	return w
}

func (w *AsyncWriter) run(out io.Writer) {
	defer close(w.done)
	reported := int64(0)
	for line := range w.lines {
		if _, err := out.Write(line); err != nil {
			// The log itself cannot be written, so the error cannot be reported.
			w.dropped.Add(1)
			continue
		}
		if dropped := w.dropped.Load(); dropped > reported && len(w.lines) == 0 {
			// If this write fails, the next one reports only later drops.
			_, _ = fmt.Fprintf(out, `{"level":"warning","msg":"Log lines dropped.","part":"log","lines":%d,"time":"%s"}`+"\n",
				dropped-reported, time.Now().Format(timeFormat))
			reported = dropped
		}
	}
}

// Write implements io.Writer. It buffers a copy of the line and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if len(w.lines) >= w.lowPriorityCapacity && isLowPriority(line) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func isLowPriority(line []byte) bool {
	for _, level := range lowPriorityLevels {
		if bytes.Contains(line, level) {
			return true
		}
	}
	return false
}

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines. Write must not be called afterwards.
func (w *AsyncWriter) Close() error {
	close(w.lines)
	<-w.done
	return nil
}
