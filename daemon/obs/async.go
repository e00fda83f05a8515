package obs

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// keptPart is the part of the buffer that plain lines may fill. The rest is for
// warnings and errors, which are dropped last.
const keptPart = 0.75

// plainLevels mark the lines that are dropped first, in the JSON format and in
// the text format.
var plainLevels = [][]byte{
	[]byte(`"level":"info"`), []byte(`"level":"debug"`), []byte("level=info"), []byte("level=debug"),
}

// AsyncWriter hands lines to a slow writer without ever blocking: when its
// buffer is full, lines are dropped and counted, and a line says how many.
type AsyncWriter struct {
	lines   chan []byte
	plain   int
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter starts a writer to out that holds up to capacity lines.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	w := &AsyncWriter{
		lines: make(chan []byte, capacity), plain: max(1, int(keptPart*float64(capacity))), done: make(chan struct{}),
	}
	go w.run(out)
	return w
}

func (w *AsyncWriter) run(out io.Writer) {
	defer close(w.done)
	reported := int64(0)
	for line := range w.lines {
		if _, err := out.Write(line); err != nil {
			// There is nowhere to report a log that can't be written.
			w.dropped.Add(1)
			continue
		}
		if dropped := w.dropped.Load(); dropped > reported && len(w.lines) == 0 {
			// A failed write is counted with the next line.
			_, _ = fmt.Fprintf(out, `{"level":"warning","msg":"Log lines dropped.","part":"log","lines":%d,"time":"%s"}`+"\n",
				dropped-reported, time.Now().Format(timeFormat))
			reported = dropped
		}
	}
}

// Write implements io.Writer. It keeps a copy of the line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if len(w.lines) >= w.plain && isPlain(line) {
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

func isPlain(line []byte) bool {
	for _, level := range plainLevels {
		if bytes.Contains(line, level) {
			return true
		}
	}
	return false
}

// Dropped returns how many lines were lost.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what is held. Write must not be called any more.
func (w *AsyncWriter) Close() error {
	close(w.lines)
	<-w.done
	return nil
}
