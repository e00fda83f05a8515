package members

import (
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

// State is what this daemon believes about another one.
type State uint8

const (
	// StateAlive is a daemon that reports.
	StateAlive State = iota
	// StateSuspected is a daemon whose reports are missing, or one that only
	// the platform's list names.
	StateSuspected
	// StateLeaving is a daemon that starts no new work and ends soon.
	StateLeaving
	// StateGone is a daemon that ended or has been silent for long.
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

// Member is one daemon as this entry knows it.
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
	// ConfigAge is the age of the configuration in the last report.
	ConfigAge time.Duration `json:"config_age"`
	// Age is the time since the last report was made.
	Age time.Duration `json:"age"`
}

// Agent is a daemon in a backend server instance's slot.
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

// Entry is a daemon that callers connect to.
type Entry struct {
	Member
}

// Address is one answer to a caller that asks where to connect.
type Address struct {
	Instance   core.InstanceID `json:"instance"`
	DataCentre core.DataCentre `json:"data_centre"`
	HTTPAddr   string          `json:"http_addr"`
}
