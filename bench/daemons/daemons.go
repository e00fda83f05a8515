// Package daemons starts the system's own daemons inside one process, for the
// demo and the benches.
package daemons

import (
	"context"
	"fmt"
	"time"

	"currantusher.dev/bench/fleet"
	"currantusher.dev/core/keys"
	"currantusher.dev/daemon/agent"
	"currantusher.dev/daemon/entry"
	"currantusher.dev/daemon/obs"
)

// Config sets what all daemons of a bench share.
type Config struct {
	// AddressTTL is how long callers keep an address answer.
	AddressTTL time.Duration
	Log        *obs.Logger
}

const (
	defaultAddressTTL = 2 * time.Second
)

// Hooks returns the starters of real entries and agents.
func Hooks(cfg Config) fleet.Hooks {
	if cfg.AddressTTL <= 0 {
		cfg.AddressTTL = defaultAddressTTL
	}
	if cfg.Log == nil {
		cfg.Log = obs.DiscardLogger()
	}
	return fleet.Hooks{
		StartEntry: cfg.startEntry,
		StartAgent: cfg.startAgent,
	}
}

// runner is what entries and agents have in common.
type runner interface {
	Run(ctx context.Context) error
	Kill()
}

// process is one daemon in a goroutine of its own.
type process struct {
	daemon runner
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

func run(daemon runner) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{daemon: daemon, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = daemon.Run(ctx)
	}()
	return p
}

// Stop implements fleet.Daemon.
func (p *process) Stop(ctx context.Context) error {
	p.cancel()
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return fmt.Errorf("daemon still drains: %w", ctx.Err())
	}
}

// Kill implements fleet.Daemon.
func (p *process) Kill() {
	p.daemon.Kill()
	<-p.done
	p.cancel()
}

func (c Config) startEntry(_ context.Context, spec fleet.EntrySpec) (fleet.Daemon, error) {
	tls, err := keys.TLSConfig(spec.CA, spec.KeyPair)
	if err != nil {
		return nil, err
	}
	daemon, err := entry.New(entry.Config{
		Instance:      spec.Instance.ID,
		DataCentre:    spec.Instance.DataCentre,
		Region:        spec.Region,
		HTTPListen:    spec.Instance.HTTPAddr,
		PeerListen:    spec.PeerListen,
		PeerAdvertise: spec.Instance.PeerAddr,
		PlatformURL:   spec.StoreURL,
		TLS:           tls,
		OperatorToken: spec.OperatorToken,
		AddressTTL:    c.AddressTTL,
		Log:           c.Log,
	})
	if err != nil {
		return nil, err
	}
	return run(daemon), nil
}

func (c Config) startAgent(_ context.Context, spec fleet.AgentSpec) (fleet.Daemon, error) {
	tls, err := keys.TLSConfig(spec.CA, spec.KeyPair)
	if err != nil {
		return nil, err
	}
	daemon, err := agent.New(agent.Config{
		Instance:       spec.Instance.ID,
		DataCentre:     spec.Instance.DataCentre,
		Region:         spec.Region,
		Group:          spec.Instance.Group,
		PeerListen:     spec.PeerListen,
		PeerAdvertise:  spec.Instance.PeerAddr,
		BackendURL:     spec.BackendURL,
		PlatformURL:    spec.StoreURL,
		OriginURL:      spec.OriginURL,
		WeightStoreURL: spec.WeightStoreURL,
		TLS:            tls,
		Log:            c.Log,
	})
	if err != nil {
		return nil, err
	}
	return run(daemon), nil
}
