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
	// ColdRemaining is how much longer the server was cold when it said so.
	ColdRemaining time.Duration
	// StartedAt is the start of this life of the server; a later life under the
	// same ID has a later StartedAt. Zero when it does not say.
	StartedAt time.Time
	// AcceptedOrders counts the orders that this life of the server has accepted.
	AcceptedOrders int64
	// Weights holds the version of each model that is loaded whole. nil for
	// plain services.
	Weights map[Model]WeightsVersion
}

// IsOlderThan reports whether s describes an earlier state of the same server
// than other does.
func (s *Server) IsOlderThan(other *Server) bool {
	if !s.StartedAt.Equal(other.StartedAt) {
		return s.StartedAt.Before(other.StartedAt)
	}
	if s.AcceptedOrders != other.AcceptedOrders {
		return s.AcceptedOrders < other.AcceptedOrders
	}
	return other.Leaving && !s.Leaving
}
