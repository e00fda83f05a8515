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
	renewParts     = 3
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Peer        *wire.Endpoint
	Pool        func() core.PoolName
	Instance    core.InstanceID
	Incarnation core.Incarnation
	// ServerAddrs returns the peer addresses of the entries to ask, best first.
	ServerAddrs func() []string
	// Retry is the pause when no server answers.
	Retry time.Duration
}

// Client asks for slots on behalf of one agent.
type Client struct {
	config ClientConfig
}

// NewClient returns a client.
func NewClient(config ClientConfig) (*Client, error) {
	if config.Peer == nil || config.Pool == nil || config.ServerAddrs == nil || config.Instance == "" {
		return nil, errors.New("rollout: Peer, Pool, Instance and Servers are required")
	}
	if config.Retry == 0 {
		config.Retry = defaultRetry
	}
	return &Client{config: config}, nil
}

// Acquire waits for a slot and renews it until release is called.
func (c *Client) Acquire(ctx context.Context, root core.Digest) (func(), error) {
	for {
		reply, err := c.ask(ctx, wire.SlotAcquire, root)
		if err == nil && reply.Granted {
			return c.hold(ctx, root, time.Duration(reply.LeaseMillis)*time.Millisecond), nil
		}
		pause := c.config.Retry
		if err == nil {
			pause = max(pause, time.Duration(reply.RetryAfterMillis)*time.Millisecond)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(pause):
		}
	}
}

func (c *Client) hold(ctx context.Context, root core.Digest, lease time.Duration) func() {
	renewing, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.renew(renewing, root, max(lease/renewParts, time.Millisecond))
	}()
	return func() {
		stop()
		<-done
		releasing, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		_, _ = c.ask(releasing, wire.SlotRelease, root)
	}
}

func (c *Client) renew(ctx context.Context, root core.Digest, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_, _ = c.ask(ctx, wire.SlotAcquire, root)
		}
	}
}

func (c *Client) ask(ctx context.Context, op wire.SlotOp, root core.Digest) (wire.SlotReply, error) {
	request := wire.SlotRequest{
		Op:          op,
		Pool:        c.config.Pool(),
		Root:        root,
		Instance:    c.config.Instance,
		Incarnation: c.config.Incarnation,
	}
	err := error(core.NewRefusal(core.CodeNoBackend, 0, "no entry to ask for a slot"))
	for _, addr := range c.config.ServerAddrs() {
		var reply wire.SlotReply
		calling, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err = wire.Call[wire.SlotReply](calling, c.config.Peer, addr, wire.KindActivate, request)
		cancel()
		if err == nil {
			return reply, nil
		}
	}
	return wire.SlotReply{}, err
}
