package burst

import (
	"context"

	"golang.org/x/time/rate"
)

// linkLimiter limits the bandwidth of one direction of a link.
type linkLimiter struct {
	limiter      *rate.Limiter
	maxWaitBytes int
}

func newLinkLimiter(bytesPerSecond, maxWaitBytes int) *linkLimiter {
	return &linkLimiter{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), maxWaitBytes), maxWaitBytes: maxWaitBytes}
}

func (l *linkLimiter) wait(ctx context.Context, size int) error {
	for size > 0 {
		n := min(size, l.maxWaitBytes)
		if err := l.limiter.WaitN(ctx, n); err != nil {
			return err
		}
		size -= n
	}
	return nil
}

// instanceLinks limits the transfers of one agent: all of them by the link of its
// instance, and those to and from other regions also by the link of its region.
type instanceLinks struct {
	up, down             *linkLimiter
	regionUp, regionDown *linkLimiter
}

// WaitUpload implements swarm.BandwidthLimiter.
func (l *instanceLinks) WaitUpload(ctx context.Context, size int, far bool) error {
	if err := l.up.wait(ctx, size); err != nil || !far {
		return err
	}
	return l.regionUp.wait(ctx, size)
}

// WaitDownload implements swarm.BandwidthLimiter.
func (l *instanceLinks) WaitDownload(ctx context.Context, size int, far bool) error {
	if err := l.down.wait(ctx, size); err != nil || !far {
		return err
	}
	return l.regionDown.wait(ctx, size)
}
