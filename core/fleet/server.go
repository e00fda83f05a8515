package fleet

import (
	"time"

	"currantusher.dev/core"
)

// Server is the state of a backend server that it publishes in the platform's
// list.
type Server struct {
	ID         core.InstanceID
	Service    ServiceName
	Addr       string
	DataCentre core.DataCentre
	// Slots is the number of requests that run concurrently; 0 if not
	// published.
	Slots int
	// Leaving servers finish their requests and accept no new ones.
	Leaving bool
	// ColdRemaining is how much longer the server was cold at the time of
	// publication.
	ColdRemaining time.Duration
	// StartedAt is the start time of the server process; a later process under
	// the same ID has a later StartedAt. Zero if not published.
	StartedAt time.Time
	// AcceptedOrders counts the load orders that this server process has
	// accepted.
	AcceptedOrders int64
	// Weights holds the version of each completely loaded model; nil for
	// services without models.
	Weights map[Model]WeightsVersion
}

// IsOlderThan reports whether s is an earlier state of the same server than
// other.
func (s *Server) IsOlderThan(other *Server) bool {
	if !s.StartedAt.Equal(other.StartedAt) {
		return s.StartedAt.Before(other.StartedAt)
	}
	if s.AcceptedOrders != other.AcceptedOrders {
		return s.AcceptedOrders < other.AcceptedOrders
	}
	return other.Leaving && !s.Leaving
}
