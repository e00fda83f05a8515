package watch

import (
	"fmt"
	"slices"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/records"
	"currantusher.dev/platform/rowstore"
)

func (s *State) applyOperator(now time.Time, row rowstore.Row, first bool) {
	kind, name := records.ClassifyKey(row.Key)
	switch kind {
	case records.ConfigRow:
		s.applyConfig(row)
	case records.EvacuationRow:
		s.applyEvacuation(now, row, core.DataCentre(name))
	case records.VersionRow:
		s.applyVersion(now, row, fleet.Model(name), first)
	case records.UnknownRow:
	}
}

func (s *State) applyConfig(row rowstore.Row) {
	if row.Deleted {
		s.ignore(row, "config", "the row was deleted")
		return
	}
	config, err := records.DecodeConfig(row.Value)
	if err != nil {
		s.ignore(row, "config", err.Error())
		return
	}
	if s.config != nil && config.Version <= s.config.Config.Version {
		s.ignore(row, "config", fmt.Sprintf("version %d is not above %d", config.Version, s.config.Config.Version))
		return
	}
	s.config = fleet.Compile(config)
	s.note(row, "config", fmt.Sprintf("version %d in force: %d routes, %d services, %d teams",
		config.Version, len(config.Routes), len(config.Services), len(config.Teams)))
}

func (s *State) applyEvacuation(now time.Time, row rowstore.Row, centre core.DataCentre) {
	if !row.Deleted {
		s.out[centre] = true
		s.note(row, "data-centre", "out")
		return
	}
	delete(s.out, centre)
	s.note(row, "data-centre", "in")
	// The servers may have become cold while nothing was sent to them.
	for _, k := range s.servers {
		if k.server.DataCentre == centre {
			k.server.ColdUntil = later(k.server.ColdUntil, now.Add(s.coldStart(k.server.Service)))
		}
	}
}

func (s *State) applyVersion(now time.Time, row rowstore.Row, model fleet.Model, first bool) {
	if row.Deleted {
		return
	}
	version, err := records.DecodeVersion(row.Value)
	if err != nil {
		s.ignore(row, "weights", err.Error())
		return
	}
	list := s.targets[model]
	if len(list) > 0 && version <= list[len(list)-1].Version {
		return
	}
	target := TargetVersion{Version: version, Since: now}
	if first {
		target.Since = time.Time{}
	}
	// Views hold the old list, so the new one is a copy.
	list = append(slices.Clone(list), target)
	s.targets[model] = list[max(0, len(list)-keptTargets):]
	s.note(row, "weights", fmt.Sprintf("version %d named", version))
}

func (s *State) applyServer(now time.Time, row rowstore.Row, first bool) {
	id := core.InstanceID(row.Key)
	old := s.servers[id]
	if row.Deleted {
		s.removeServer(now, row, old)
		return
	}
	server, err := records.DecodeServer(row.Key, row.Value)
	if err != nil {
		// A row from another writer names no server, also not the one before.
		delete(s.servers, id)
		s.ignore(row, "server", err.Error())
		return
	}
	if old != nil && server.IsOlderThan(&old.server.Server) {
		s.ignore(row, "server", "an older state of the server")
		return
	}
	next := &known{server: Server{Server: server, ColdUntil: now.Add(server.ColdRemaining)}}
	switch {
	case old != nil && server.StartedAt.Equal(old.server.StartedAt):
		next.server.ColdUntil = later(next.server.ColdUntil, old.server.ColdUntil)
	case !first:
		next.server.ColdUntil = later(next.server.ColdUntil, now.Add(s.coldStart(server.Service)))
	}
	s.servers[id] = next
	s.noteServer(row, old, next)
}

// removeServer drops a server whose row went. While the store is away, and
// shortly after, rows go also of servers that live.
func (s *State) removeServer(now time.Time, row rowstore.Row, old *known) {
	if old == nil {
		return
	}
	afterOutage := s.away || !s.regained.IsZero() && now.Sub(s.regained) < lapseGrace
	if afterOutage && !old.server.Leaving {
		old.lapsed = now
		s.note(row, "server", "row lapsed during the store's outage; kept for a while")
		return
	}
	delete(s.servers, old.server.ID)
	s.note(row, "server", "gone")
}

func (s *State) noteServer(row rowstore.Row, old, next *known) {
	server := &next.server
	if old != nil && old.server.Leaving == server.Leaving && old.server.StartedAt.Equal(server.StartedAt) &&
		server.ColdRemaining == 0 && sameWeights(old.server.Weights, server.Weights) {
		return
	}
	s.note(row, "server", fmt.Sprintf("service %s at %s in %s: leaving %t, cold for %d ms, weights %v",
		server.Service, server.Addr, server.DataCentre, server.Leaving, server.ColdRemaining.Milliseconds(), server.Weights))
}

func sameWeights(a, b map[fleet.Model]fleet.WeightsVersion) bool {
	if len(a) != len(b) {
		return false
	}
	for model, version := range a {
		if b[model] != version {
			return false
		}
	}
	return true
}

func (s *State) coldStart(name fleet.ServiceName) time.Duration {
	if s.config == nil {
		return 0
	}
	if service := s.config.Service(name); service != nil {
		return service.ColdStart
	}
	return 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
