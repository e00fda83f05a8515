package fleet

import (
	"context"

	"currantusher.dev/core"
	"currantusher.dev/core/keys"
	"currantusher.dev/platform"
	"currantusher.dev/tables"
)

// Daemon is a running entry or agent.
type Daemon interface {
	// Stop drains the daemon and returns when it has ended.
	Stop(ctx context.Context) error
	// Kill ends the daemon immediately, like a crash of its instance.
	Kill()
}

// DaemonSpec is the part of the configuration that entries and agents share.
type DaemonSpec struct {
	// Instance is the row that the daemon announces. PeerAddr is the address at
	// which peers reach the daemon; HTTPAddr is the address at which an entry
	// listens for callers.
	Instance platform.Instance
	Region   core.Region
	// PeerListen is the IP and UDP port at which the daemon listens for peers.
	PeerListen string
	// StoreURL is the base URL of the tables, the objects and the list of
	// instances.
	StoreURL string
	CA       []byte
	KeyPair  keys.KeyPair
}

// EntrySpec is the configuration of an entry.
type EntrySpec struct {
	DaemonSpec
	OperatorToken string
}

// AgentSpec is the configuration of an agent.
type AgentSpec struct {
	DaemonSpec
	BackendURL string
	Kind       tables.PoolKind
	// OriginURL and WeightStoreURL are the base URLs of the sources of weights.
	// Both are empty for the agents of plain services.
	OriginURL      string
	WeightStoreURL string
}

// Hooks start the daemons of a deployment.
type Hooks struct {
	StartEntry func(ctx context.Context, spec EntrySpec) (Daemon, error)
	StartAgent func(ctx context.Context, spec AgentSpec) (Daemon, error)
}
