package fleet

import (
	"time"

	"currantusher.dev/core"
)

// Server is one backend server as it describes itself in the platform's list.
type Server struct {
	ID         core.InstanceID
	Service    ServiceName
	Addr       string
	DataCentre core.DataCentre
	// Slots is how many requests run at once; 0 when it does not say.
	Slots int
	// Leaving servers finish their work and take no more.
	Leaving bool
	// ColdFor is how much longer the server was cold when it said so.
	ColdFor time.Duration
	// Born is the start of this life of the server; a later life under the
	// same ID has a later Born. Zero when it does not say.
	Born time.Time
	// Orders counts the orders that this life of the server has accepted.
	Orders int64
	// Weights holds the version of each model that is loaded whole. nil for
	// plain services.
	Weights map[Model]WeightsVersion
}

// IsOlderThan reports whether s describes an earlier state of the same server
// than other does.
func (s *Server) IsOlderThan(other *Server) bool {
	if !s.Born.Equal(other.Born) {
		return s.Born.Before(other.Born)
	}
	if s.Orders != other.Orders {
		return s.Orders < other.Orders
	}
	return other.Leaving && !s.Leaving
}
