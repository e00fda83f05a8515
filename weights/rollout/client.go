package rollout

import (
	"context"
	"errors"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

const (
	callTimeout    = 5 * time.Second
	releaseTimeout = 10 * time.Second
	// renewalsPerLease is how often a slot is renewed within its lease duration.
	renewalsPerLease = 3
)

// ClientConfig configures a Client. Peer, Pool, Instance and ServerAddrs are
// required.
type ClientConfig struct {
	Peer        *wire.Endpoint
	Pool        func() core.PoolName
	Instance    core.InstanceID
	Incarnation core.Incarnation
	// ServerAddrs returns the peer addresses of the entries that run a Server, in
	// the order in which they are tried.
	ServerAddrs func() []string
	// RetryDelay is the minimum delay before a refused or failed call is retried.
	RetryDelay time.Duration
}

// Client acquires slots for one agent.
type Client struct {
	config ClientConfig
}

// NewClient returns a client, or an error if a required field is not set.
func NewClient(config ClientConfig) (*Client, error) {
	if config.Peer == nil || config.Pool == nil || config.ServerAddrs == nil || config.Instance == "" {
		return nil, errors.New("rollout: Peer, Pool, Instance and ServerAddrs are required")
	}
	if config.RetryDelay == 0 {
		config.RetryDelay = defaultRetryDelay
	}
	return &Client{config: config}, nil
}

// Acquire waits for a slot and renews it in the background. The caller must call
// the returned function to release the slot. Renewal also stops when ctx ends.
func (c *Client) Acquire(ctx context.Context, root core.Digest) (func(), error) {
	for {
		reply, err := c.call(ctx, wire.SlotAcquire, root)
		if err == nil && reply.Granted {
			return c.startRenewal(ctx, root, time.Duration(reply.LeaseMillis)*time.Millisecond), nil
		}
		delay := c.config.RetryDelay
		if err == nil {
			delay = max(delay, time.Duration(reply.RetryAfterMillis)*time.Millisecond)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(delay):
		}
	}
}

// startRenewal starts to renew the slot and returns a function that stops the
// renewal and releases the slot.
func (c *Client) startRenewal(ctx context.Context, root core.Digest, leaseDuration time.Duration) func() {
	renewCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.renewLoop(renewCtx, root, max(leaseDuration/renewalsPerLease, time.Millisecond))
	}()
	return func() {
		stop()
		<-done
		releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		_, _ = c.call(releaseCtx, wire.SlotRelease, root)
	}
}

func (c *Client) renewLoop(ctx context.Context, root core.Digest, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_, _ = c.call(ctx, wire.SlotAcquire, root)
		}
	}
}

// call sends a request to the servers in order until one answers.
func (c *Client) call(ctx context.Context, op wire.SlotOp, root core.Digest) (wire.SlotReply, error) {
	request := wire.SlotRequest{
		Op:          op,
		Pool:        c.config.Pool(),
		Root:        root,
		Instance:    c.config.Instance,
		Incarnation: c.config.Incarnation,
	}
	err := error(core.NewRefusal(core.CodeNoBackend, 0, "no entry is available to grant an activation slot"))
	for _, addr := range c.config.ServerAddrs() {
		var reply wire.SlotReply
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err = wire.Call[wire.SlotReply](callCtx, c.config.Peer, addr, wire.KindActivate, request)
		cancel()
		if err == nil {
			return reply, nil
		}
	}
	return wire.SlotReply{}, err
}
