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
	// Kill ends the daemon at once, as the loss of its instance would.
	Kill()
}

// Common is what all daemons are told.
type Common struct {
	// Instance is what the daemon announces: PeerAddr is the address by which
	// others reach it and HTTPAddr, of entries, the one to listen at.
	Instance platform.Instance
	Region   core.Region
	// PeerListen is the IP and UDP port to listen at.
	PeerListen string
	// StoreURL serves the tables, the objects and the list.
	StoreURL string
	CA       []byte
	Pair     keys.KeyPair
}

// EntrySpec describes an entry.
type EntrySpec struct {
	Common
	OperatorToken string
}

// AgentSpec describes an agent.
type AgentSpec struct {
	Common
	BackendURL string
	Kind       tables.PoolKind
	// OriginURL and WeightStoreURL serve weights.
	OriginURL      string
	WeightStoreURL string
}

// Hooks start the system's daemons.
type Hooks struct {
	StartEntry func(ctx context.Context, spec EntrySpec) (Daemon, error)
	StartAgent func(ctx context.Context, spec AgentSpec) (Daemon, error)
}
