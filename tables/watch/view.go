package watch

import (
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/rowstore"
)

// Server is a backend server with the state derived from its rows.
type Server struct {
	fleet.Server
	// ColdUntil is the time from which the server counts as warm.
	ColdUntil time.Time
}

// TargetVersion is a version of a model's weights that operators have
// configured.
type TargetVersion struct {
	Version fleet.WeightsVersion
	// Since is when the first of the known daemons read the version, or its last read before
	// if the store may have accepted the version in the pause between them. It is zero if
	// the version was configured before this daemon started and no peer has reported the
	// time.
	Since time.Time
	// First is the oldest of the versions that were merged into this one, which count from
	// Since as well; 0 if there are none.
	First fleet.WeightsVersion
	// IsEstimate is true if this daemon did not run when the version was accepted, or paused
	// after its start, and no peer has reported the time. Since is then the earliest possible
	// time.
	IsEstimate bool
}

// View is a daemon's state at one point in time. It is immutable.
type View struct {
	// Table is the configuration, or nil if none is known yet.
	Table *fleet.Table
	// Servers holds the usable backend servers of each service, ordered by id.
	Servers map[fleet.ServiceName][]*Server
	// OutDataCentres holds the data centres that operators have taken out.
	OutDataCentres map[core.DataCentre]bool
	// Targets holds the configured versions of each model, the newest last.
	// Each has its own deadline to be in force, so that a newer version does not
	// postpone the deadline of an older one.
	Targets map[fleet.Model][]TargetVersion
	// OperatorPosition and ServersPosition are the positions of the last known
	// changes of the two tables.
	OperatorPosition rowstore.Position
	ServersPosition  rowstore.Position
	// Era is the latest known era of the store.
	Era uint64
	// EraChanges counts the transitions to a later era, and DroppedRows the known
	// rows that the later eras did not have.
	EraChanges, DroppedRows uint64
	// LostRows counts the operators' rows that the store has lost and that are in force, and
	// LostRowsSeen is the greatest such count of this daemon and those whose rows it has
	// fetched.
	LostRows, LostRowsSeen uint64
	// Loaded is true if both tables have been read.
	Loaded bool
}

// Server returns the backend server of a service with this id, or nil.
func (v *View) Server(service fleet.ServiceName, id core.InstanceID) *Server {
	for _, server := range v.Servers[service] {
		if server.ID == id {
			return server
		}
	}
	return nil
}

// NewestTarget returns the newest configured version of a model, or the zero
// value.
func (v *View) NewestTarget(model fleet.Model) TargetVersion {
	list := v.Targets[model]
	if len(list) == 0 {
		return TargetVersion{}
	}
	return list[len(list)-1]
}

// RequiredVersion returns the newest version of a model that must be in force at
// now, or 0 if there is none. A version must be in force when the duration
// inForceWithin has passed since it was configured.
func (v *View) RequiredVersion(now time.Time, model fleet.Model, inForceWithin time.Duration) fleet.WeightsVersion {
	var required fleet.WeightsVersion
	for _, target := range v.Targets[model] {
		if now.Sub(target.Since) >= inForceWithin {
			required = max(required, target.Version)
		}
	}
	return required
}
