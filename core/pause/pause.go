// Package pause provides a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// For sleeps for d, or until ctx is done if that is earlier.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
