// Package daemons starts entries and agents inside the calling process, for the
// demo and the experiments.
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

// Config holds the settings that all daemons share.
type Config struct {
	// AddressTTL is the time for which callers may cache the addresses of entries.
	AddressTTL time.Duration
	Log        *obs.Logger
}

const (
	defaultAddressTTL = 2 * time.Second
)

// Hooks returns hooks that start the entries and agents of the product.
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

// daemon is the common interface of entries and agents.
type daemon interface {
	Run(ctx context.Context) error
	Kill()
}

// runningDaemon is a daemon that runs in its own goroutine.
type runningDaemon struct {
	daemon daemon
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

func startRunning(daemon daemon) *runningDaemon {
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningDaemon{daemon: daemon, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		r.err = daemon.Run(ctx)
	}()
	return r
}

// Stop implements fleet.Daemon.
func (r *runningDaemon) Stop(ctx context.Context) error {
	r.cancel()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return fmt.Errorf("daemon has not finished draining: %w", ctx.Err())
	}
}

// Kill implements fleet.Daemon.
func (r *runningDaemon) Kill() {
	r.daemon.Kill()
	<-r.done
	r.cancel()
}

func (c Config) startEntry(_ context.Context, spec fleet.EntrySpec) (fleet.Daemon, error) {
	tlsConfig, err := keys.TLSConfig(spec.CA, spec.KeyPair)
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
		TLS:           tlsConfig,
		OperatorToken: spec.OperatorToken,
		AddressTTL:    c.AddressTTL,
		Log:           c.Log,
	})
	if err != nil {
		return nil, err
	}
	return startRunning(daemon), nil
}

func (c Config) startAgent(_ context.Context, spec fleet.AgentSpec) (fleet.Daemon, error) {
	tlsConfig, err := keys.TLSConfig(spec.CA, spec.KeyPair)
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
		TLS:            tlsConfig,
		Log:            c.Log,
	})
	if err != nil {
		return nil, err
	}
	return startRunning(daemon), nil
}
