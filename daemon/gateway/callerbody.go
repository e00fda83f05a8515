package gateway

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/membudget"
)

const (
	// bodyStallTimeout is the time within which minBodyProgress bytes of a body must arrive,
	// unless less is left. It exceeds pauses of a caller's network of a few seconds.
	bodyStallTimeout = 5 * time.Second
	minBodyProgress  = 1 << 10
	// minEvictedBody is the least time for which a body is read before its request is refused
	// in favour of a new connection. A body of 4 MiB takes 1.2 s at 28 Mbit/s.
	minEvictedBody = 2 * time.Second
	// A body is read into pieces, from minPieceBytes to maxPieceBytes, each twice as long as
	// the one before it.
	minPieceBytes = 2 << 10
	maxPieceBytes = 256 << 10
	// copiesOfABody is how often a body is in memory: in pieces and joined, and later as the
	// request that is written to a server.
	copiesOfABody = 2
)

// bodyRead is a body that is being read. A read fails soon after end.
type bodyRead struct {
	controller *http.ResponseController
	account    *membudget.Account
	startedAt  time.Time
	// deadline is when the whole body must have arrived.
	deadline time.Time

	mu sync.Mutex
	// isEnded is set if the read was ended, isEvicted if that made room for others, and isDone
	// once the read has returned.
	isEnded, isEvicted, isDone bool
}

// end ends the read in progress.
func (b *bodyRead) end() { b.stop(false) }

// evict ends the read in progress to make room for others.
func (b *bodyRead) evict() { b.stop(true) }

func (b *bodyRead) stop(isEvicted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isDone {
		// The deadline would end the request that runs.
		return
	}
	b.isEnded = true
	b.isEvicted = b.isEvicted || isEvicted
	// An error means that the connection is closed, which ends the read too.
	_ = b.controller.SetReadDeadline(time.Now())
}

// finish is called when the read has returned. It returns whether evict was called before.
func (b *bodyRead) finish() (isEvicted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isDone = true
	return b.isEvicted
}

// wasEnded reports whether the read was ended.
func (b *bodyRead) wasEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isEnded
}

// extend moves the deadline of the next read after progress.
func (b *bodyRead) extend(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isEnded {
		return nil
	}
	end := now.Add(bodyStallTimeout)
	if b.deadline.Before(end) {
		end = b.deadline
	}
	return b.controller.SetReadDeadline(end)
}

// readAll reads a body of length bytes, or -1 if its length is unknown. The memory that it takes
// follows the bytes that have arrived, not the length or the number of chunks.
func (b *bodyRead) readAll(body io.Reader, length int64) ([]byte, error) {
	var pieces [][]byte
	total, progress := 0, 0
	size := minPieceBytes
	if err := b.extend(time.Now()); err != nil {
		return nil, err
	}
	for {
		pieceBytes := size
		if left := length - int64(total); length >= 0 && left < int64(size) {
			// One byte more shows the end of the body.
			pieceBytes = int(left) + 1
		}
		now := time.Now()
		if !b.account.Grow(now, int64(copiesOfABody*pieceBytes)) {
			return nil, errMemoryFull()
		}
		piece := make([]byte, 0, pieceBytes)
		for len(piece) < cap(piece) {
			n, err := body.Read(piece[len(piece):cap(piece)])
			piece = piece[:len(piece)+n]
			total += n
			if progress += n; progress >= minBodyProgress && err == nil {
				progress = 0
				now := time.Now()
				b.account.Progress(now)
				err = b.extend(now)
			}
			if err == io.EOF {
				return join(append(pieces, piece), total), nil
			}
			if err != nil {
				return nil, err
			}
		}
		pieces = append(pieces, piece)
		size = min(2*size, maxPieceBytes)
	}
}

func join(pieces [][]byte, total int) []byte {
	if len(pieces) == 1 {
		return pieces[0]
	}
	body := make([]byte, 0, total)
	for _, piece := range pieces {
		body = append(body, piece...)
	}
	return body
}

// limitUnreadBody bounds the time for which the HTTP server waits for the body of a request that
// is refused before its body is read.
func limitUnreadBody(w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength == 0 {
		return nil
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyStallTimeout)); err != nil {
		return core.Wrap(err, core.CodeInternal, core.ExecutionNotRun, "set read deadline for the body")
	}
	return nil
}

// setBody sets the body that is being read from the connection of a request, or nil.
func setBody(r *http.Request, body *bodyRead) {
	if conn, ok := r.Context().Value(connContextKey{}).(*headCapturingConn); ok {
		conn.body.Store(body)
	}
}

// evictSlowBody ends the body that has been read for longest, at least for minEvictedBody, if all
// connections but the new one serve a request. Otherwise callers that send slowly would keep out
// all others. It returns false if there is none. The caller holds the lock.
func (c *callerConns) evictSlowBody(now time.Time, added net.Conn) bool {
	var slowest *bodyRead
	for conn, s := range c.conns {
		if conn == added {
			continue
		}
		if s.state != http.StateActive {
			return false
		}
		capturing, ok := conn.(*headCapturingConn)
		if !ok {
			continue
		}
		if body := capturing.body.Load(); body != nil && !body.wasEnded() && (slowest == nil || body.startedAt.Before(slowest.startedAt)) {
			slowest = body
		}
	}
	if slowest == nil || now.Sub(slowest.startedAt) < minEvictedBody {
		return false
	}
	slowest.evict()
	c.evictions.Add(1)
	return true
}
