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

// TargetVersion is a version of a model's weights that operators have named.
type TargetVersion struct {
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
	// OutDataCentres holds the data centres that operators have taken out.
	OutDataCentres map[core.DataCentre]bool
	// Targets holds the named weights of each model, the newest last. Each must
	// be in force in its own time, so that a newer one puts off none.
	Targets map[fleet.Model][]TargetVersion
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

// NewestTarget returns the newest named weights of a model, or the zero value.
func (v *View) NewestTarget(model fleet.Model) TargetVersion {
	list := v.Targets[model]
	if len(list) == 0 {
		return TargetVersion{}
	}
	return list[len(list)-1]
}

// RequiredVersion returns the newest version of a model that must be in force at now,
// each in the time inForce from when it was named; 0 means none.
func (v *View) RequiredVersion(now time.Time, model fleet.Model, inForce time.Duration) fleet.WeightsVersion {
	var required fleet.WeightsVersion
	for _, target := range v.Targets[model] {
		if now.Sub(target.Since) >= inForce {
			required = max(required, target.Version)
		}
	}
	return required
}
