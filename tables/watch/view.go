package watch

import (
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

// Server is a backend server with what was learned about it.
type Server struct {
	fleet.Server
	// ColdUntil is when the server counts as warm.
	ColdUntil time.Time
}

// Order is the newest weights of a model that operators have named.
type Order struct {
	Version fleet.WeightsVersion
	// Since is when this daemon learned of the version, zero when it was
	// already named when the daemon started.
	Since time.Time
}

// View is what a daemon knows at one moment. It is immutable.
type View struct {
	// Table is nil while no configuration is known.
	Table *fleet.Table
	// Servers holds the usable backend servers of each service, ordered by id.
	Servers map[fleet.ServiceName][]*Server
	// Out holds the data centres that operators have taken out.
	Out map[core.DataCentre]bool
	// Orders holds the newest named weights of each model.
	Orders map[fleet.Model]Order
	// OperatorRevision and ServerRevision are the store's revisions of the
	// last known changes of the two tables.
	OperatorRevision uint64
	ServerRevision   uint64
	// Loaded says that both tables were read once.
	Loaded bool
}

// Server returns a backend server by id, or nil.
func (v *View) Server(service fleet.ServiceName, id core.InstanceID) *Server {
	for _, server := range v.Servers[service] {
		if server.ID == id {
			return server
		}
	}
	return nil
}
