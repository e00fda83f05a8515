package members

import (
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

// State is this entry's view of another daemon.
type State uint8

const (
	// StateAlive is a daemon whose reports are current.
	StateAlive State = iota
	// StateSuspected is a daemon whose reports are overdue, or that is known
	// only from the platform's instance list.
	StateSuspected
	// StateLeaving is a daemon that starts no new work and exits soon.
	StateLeaving
	// StateGone is a daemon that has exited, or has been suspected for a long
	// time.
	StateGone
)

// String returns the lower-case name of s.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspected:
		return "suspected"
	case StateLeaving:
		return "leaving"
	default:
		return "gone"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Member describes one daemon.
type Member struct {
	Instance    core.InstanceID  `json:"instance"`
	Role        platform.Role    `json:"role"`
	Incarnation core.Incarnation `json:"incarnation"`
	PeerAddr    string           `json:"peer_addr"`
	HTTPAddr    string           `json:"http_addr,omitempty"`
	DataCentre  core.DataCentre  `json:"data_centre"`
	Group       core.Group       `json:"group,omitempty"`
	State       State            `json:"state"`
	Revision    core.Revision    `json:"revision"`
	// ConfigAge is the age of the configuration as of the last report.
	ConfigAge time.Duration `json:"config_age"`
	// Age is the time since the last report was made.
	Age time.Duration `json:"age"`
}

// Agent describes a daemon beside a backend server.
type Agent struct {
	Member
	Weights     core.Digest       `json:"weights"`
	Target      core.Digest       `json:"target"`
	ChunksDone  int               `json:"chunks_done"`
	ChunksTotal int               `json:"chunks_total"`
	Running     int               `json:"running"`
	Limit       int               `json:"limit"`
	Temperature wire.Temperature  `json:"temperature"`
	EngineFence core.FencingToken `json:"engine_fence"`
}

// Entry describes a daemon that callers connect to.
type Entry struct {
	Member
}

// Address is an entry that a caller can connect to.
type Address struct {
	Instance   core.InstanceID `json:"instance"`
	DataCentre core.DataCentre `json:"data_centre"`
	HTTPAddr   string          `json:"http_addr"`
}
