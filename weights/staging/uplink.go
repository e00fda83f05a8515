package staging

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

const (
	// uplinkFraction is the fraction of the instance's link that pieces may use.
	// The engine on the instance sends its answers over the same link.
	uplinkFraction = 0.85
	// writeSliceBytes is the size of one write. On the slowest link it delays an
	// event of a stream by 9 ms.
	writeSliceBytes = 8 << 10
	// maxConcurrentSends bounds the pieces that are sent concurrently. Pieces
	// that are sent one after the other arrive sooner, but with a bound of one
	// a stuck receiver would block all others.
	maxConcurrentSends = 3
	// sendTimeout bounds the time to send one piece.
	sendTimeout = 2 * time.Second
)

// uplink limits the rate and the concurrency at which an agent sends pieces.
type uplink struct {
	limiter   *rate.Limiter
	sendSlots *prioritySemaphore
}

// newUplink returns the limits for a link of bytesPerSecond; 0 means no rate
// limit.
func newUplink(bytesPerSecond float64) *uplink {
	limit := rate.Inf
	if bytesPerSecond > 0 {
		limit = rate.Limit(uplinkFraction * bytesPerSecond)
	}
	return &uplink{limiter: rate.NewLimiter(limit, writeSliceBytes), sendSlots: newPrioritySemaphore(maxConcurrentSends)}
}

// send writes a response, its body in slices at the limited rate. Urgent bodies precede
// others; a response without a body is not queued. The header is sent when the transfer
// begins, so that the receiver can tell the queue from a slow link.
func (u *uplink) send(ctx context.Context, w http.ResponseWriter, status int, body []byte, urgent bool) error {
	if len(body) == 0 {
		w.WriteHeader(status)
		return nil
	}
	if err := u.sendSlots.acquire(ctx, urgent); err != nil {
		return err
	}
	defer u.sendSlots.release()
	w.WriteHeader(status)
	controller := http.NewResponseController(w)
	if err := controller.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	for len(body) > 0 {
		n := min(writeSliceBytes, len(body))
		if err := u.limiter.WaitN(ctx, n); err != nil {
			return err
		}
		if _, err := w.Write(body[:n]); err != nil {
			return err
		}
		if err := controller.Flush(); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}
