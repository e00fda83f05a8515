package staging

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

const (
	// uplinkPart is the part of the instance's link that pieces may use. The
	// engine beside the agent answers callers over the same link.
	uplinkPart = 0.85
	// sliceBytes is what is written at once; on the slowest link an event of a
	// stream waits 9 ms behind it.
	sliceBytes = 8 << 10
	// senders bounds the pieces that are sent side by side: one after the
	// other they arrive sooner, and a stuck receiver must not hold up all.
	senders = 3
	// sendTimeout bounds the sending of one piece.
	sendTimeout = 2 * time.Second
)

// uplink paces what an agent sends.
type uplink struct {
	limiter *rate.Limiter
	places  *places
}

// newUplink returns the pacing for a link in bytes a second; 0 means none.
func newUplink(bytesPerSecond float64) *uplink {
	limit := rate.Inf
	if bytesPerSecond > 0 {
		limit = rate.Limit(uplinkPart * bytesPerSecond)
	}
	return &uplink{limiter: rate.NewLimiter(limit, sliceBytes), places: newPlaces(senders)}
}

// send writes a body in slices at the link's pace. Urgent bodies go before
// others; an empty one does not wait.
func (u *uplink) send(ctx context.Context, w http.ResponseWriter, body []byte, urgent bool) error {
	if len(body) == 0 {
		return nil
	}
	if err := u.places.acquire(ctx, urgent); err != nil {
		return err
	}
	defer u.places.release()
	controller := http.NewResponseController(w)
	if err := controller.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return fmt.Errorf("no bound for the sending: %w", err)
	}
	for len(body) > 0 {
		n := min(sliceBytes, len(body))
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
