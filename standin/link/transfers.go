package link

import (
	"context"

	"golang.org/x/time/rate"

	"currantusher.dev/core"
)

// anyRegion stands for the far end of a path whose region is not known.
const anyRegion core.Region = "*"

// Transfers is the link of one machine for daemons that are told to pace
// themselves instead of being reached through a forwarded port. It counts the
// content of transfers only, without their framing.
type Transfers struct {
	network *Network
	id      core.InstanceID
}

// Transfers returns the link of a machine that was added before.
func (n *Network) Transfers(id core.InstanceID) *Transfers { return &Transfers{network: n, id: id} }

// WaitUp counts and paces size bytes that the machine sends; far ones leave its
// region.
func (t *Transfers) WaitUp(ctx context.Context, size int, far bool) error {
	t.network.mu.Lock()
	m := t.network.machines[t.id]
	m.counts.Sent += int64(size)
	limiters := []*rate.Limiter{m.up}
	if far {
		t.network.crossed += int64(size)
		limiters = append(limiters, t.network.regionLimiter(m.Region, anyRegion))
	}
	t.network.mu.Unlock()
	return waitAll(ctx, limiters, size)
}

// WaitDown counts and paces size bytes that the machine receives; far ones come
// from another region.
func (t *Transfers) WaitDown(ctx context.Context, size int, far bool) error {
	t.network.mu.Lock()
	m := t.network.machines[t.id]
	m.counts.Received += int64(size)
	limiters := []*rate.Limiter{m.down}
	if far {
		limiters = append(limiters, t.network.regionLimiter(anyRegion, m.Region))
	}
	t.network.mu.Unlock()
	return waitAll(ctx, limiters, size)
}

// waitAll waits for each limiter in pieces that it passes at once.
func waitAll(ctx context.Context, limiters []*rate.Limiter, size int) error {
	for _, limiter := range limiters {
		for left := size; left > 0; left -= burstBytes {
			if err := limiter.WaitN(ctx, min(left, burstBytes)); err != nil {
				return err
			}
		}
	}
	return nil
}
