package burst

import (
	"context"

	"golang.org/x/time/rate"
)

// link is one direction of a link.
type link struct {
	limiter *rate.Limiter
	burst   int
}

func newLink(bytesPerSecond, burst int) *link {
	return &link{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst), burst: burst}
}

func (l *link) wait(ctx context.Context, size int) error {
	for size > 0 {
		part := min(size, l.burst)
		if err := l.limiter.WaitN(ctx, part); err != nil {
			return err
		}
		size -= part
	}
	return nil
}

// machineLinks are the links that one agent's transfers pass.
type machineLinks struct {
	up, down             *link
	regionUp, regionDown *link
}

// WaitUpload implements swarm.Links.
func (m *machineLinks) WaitUpload(ctx context.Context, size int, far bool) error {
	if err := m.up.wait(ctx, size); err != nil || !far {
		return err
	}
	return m.regionUp.wait(ctx, size)
}

// WaitDownload implements swarm.Links.
func (m *machineLinks) WaitDownload(ctx context.Context, size int, far bool) error {
	if err := m.down.wait(ctx, size); err != nil || !far {
		return err
	}
	return m.regionDown.wait(ctx, size)
}
