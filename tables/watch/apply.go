package watch

import (
	"fmt"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/records"
	"currantusher.dev/platform/rowstore"
)

func (s *State) applyOperator(now time.Time, row rowstore.Row, isFirstRead bool) {
	kind, name := records.ClassifyKey(row.Key)
	switch kind {
	case records.ConfigRow:
		s.applyConfig(row)
	case records.EvacuationRow:
		s.applyEvacuation(now, row, core.DataCentre(name))
	case records.VersionRow:
		s.applyVersion(now, row, fleet.Model(name), isFirstRead)
	case records.UnknownRow:
	}
}

func (s *State) applyConfig(row rowstore.Row) {
	if row.Deleted {
		s.addIgnoredEvent(row, "config", "the row was deleted; the current configuration is kept")
		return
	}
	config, err := records.DecodeConfig(row.Value)
	if err != nil {
		s.addIgnoredEvent(row, "config", err.Error())
		return
	}
	if s.config != nil && config.Version <= s.config.Config.Version {
		s.addIgnoredEvent(row, "config", fmt.Sprintf("version %d is not above %d", config.Version, s.config.Config.Version))
		return
	}
	old := s.config
	s.config = fleet.Compile(config)
	s.addEvent(row, "config", fmt.Sprintf("version %d adopted: %d routes, %d services, %d teams%s",
		config.Version, len(config.Routes), len(config.Services), len(config.Teams), accessChange(old, s.config)))
}

// accessChange describes what a configuration changes for callers of the routes that are
// not public, where it has no teams or the previous one had none.
func accessChange(old, next *fleet.Table) string {
	access := func(t *fleet.Table) string {
		switch {
		case t == nil:
			return ""
		case t.Config.IsOpen:
			return "requests need no API key, because there is no list of teams"
		case len(t.Config.Teams) == 0:
			return "no API key is valid, because the list of teams is empty; only public routes are served"
		default:
			return "requests need the API key of a team"
		}
	}
	if access(old) == access(next) || old == nil && !next.Config.IsOpen && len(next.Config.Teams) > 0 {
		return ""
	}
	return "; from now on " + access(next)
}

func (s *State) applyEvacuation(now time.Time, row rowstore.Row, centre core.DataCentre) {
	if !row.Deleted {
		s.outDataCentres[centre] = true
		delete(s.lapsedEvacuations, centre)
		s.addEvent(row, "data-centre", "out")
		return
	}
	s.bringIn(now, centre)
	s.addEvent(row, "data-centre", "in")
}

// bringIn puts a data centre back into service.
func (s *State) bringIn(now time.Time, centre core.DataCentre) {
	delete(s.outDataCentres, centre)
	delete(s.lapsedEvacuations, centre)
	// The servers may have become cold while they received no requests.
	for _, state := range s.servers {
		if state.server.DataCentre == centre {
			state.server.ColdUntil = laterOf(state.server.ColdUntil, now.Add(s.coldStart(state.server.Service)))
		}
	}
}

func (s *State) applyVersion(now time.Time, row rowstore.Row, model fleet.Model, isFirstRead bool) {
	if row.Deleted {
		return
	}
	version, err := records.DecodeVersion(row.Value)
	if err != nil {
		s.addIgnoredEvent(row, "weights", err.Error())
		return
	}
	list := s.targets[model]
	if len(list) > 0 && version <= list[len(list)-1].Version {
		return
	}
	target := s.newTarget(now, version, isFirstRead)
	s.addTarget(now, model, target)
	s.events = append(s.events, Event{
		Subject: "weights", Key: row.Key, Revision: row.Revision, Detail: fmt.Sprintf("version %d configured", version),
		VersionSource: target.ownSource(), VersionSince: target.Since,
	})
}

func (s *State) applyServer(now time.Time, row rowstore.Row, isFirstRead bool) {
	id := core.InstanceID(row.Key)
	old := s.servers[id]
	if row.Deleted {
		s.removeServer(now, row, old)
		return
	}
	server, err := records.DecodeServer(row.Key, row.Value)
	if err != nil {
		s.hideServer(row, err)
		return
	}
	_, wasHidden := s.invalidRows[id]
	delete(s.invalidRows, id)
	if old != nil && server.IsOlderThan(&old.server.Server) {
		old.lapsedAt = time.Time{}
		s.addIgnoredEvent(row, "server", "the row has an older state of the server than the known one")
		return
	}
	next := &serverState{server: Server{Server: server, ColdUntil: now.Add(server.ColdRemaining)}}
	switch {
	case old != nil && server.StartedAt.Equal(old.server.StartedAt):
		next.server.ColdUntil = laterOf(next.server.ColdUntil, old.server.ColdUntil)
	case !isFirstRead:
		next.server.ColdUntil = laterOf(next.server.ColdUntil, now.Add(s.coldStart(server.Service)))
	}
	s.servers[id] = next
	if wasHidden {
		old = nil
	}
	s.addServerEvent(row, old, next)
}

// hideServer handles an invalid row, which comes from another writer. It names no server
// to use, but what is known of the server whose id it has still holds for the server's
// next row.
func (s *State) hideServer(row rowstore.Row, reason error) {
	id := core.InstanceID(row.Key)
	if previous, ok := s.invalidRows[id]; ok && previous == reason.Error() {
		return
	}
	s.invalidRows[id] = reason.Error()
	s.addIgnoredEvent(row, "server", reason.Error())
}

// removeServer removes a server whose row was deleted. During an outage of the
// store and shortly after it, rows of live servers are deleted as well, because
// servers cannot renew them. Such a server is kept for lapsedRowGrace.
func (s *State) removeServer(now time.Time, row rowstore.Row, old *serverState) {
	id := core.InstanceID(row.Key)
	_, isHidden := s.invalidRows[id]
	delete(s.invalidRows, id)
	if old == nil {
		return
	}
	afterOutage := s.storeDown || !s.storeUpAt.IsZero() && now.Sub(s.storeUpAt) < lapsedRowGrace
	if afterOutage && !old.server.Leaving && !isHidden {
		old.lapsedAt = now
		s.addEvent(row, "server", "row expired during an outage of the store; the server is kept for now")
		return
	}
	delete(s.servers, id)
	s.addEvent(row, "server", "gone")
}

func (s *State) addServerEvent(row rowstore.Row, old, next *serverState) {
	server := &next.server
	if old != nil && old.server.Leaving == server.Leaving && old.server.StartedAt.Equal(server.StartedAt) &&
		server.ColdRemaining == 0 && sameWeights(old.server.Weights, server.Weights) {
		return
	}
	s.addEvent(row, "server", fmt.Sprintf("service %s at %s in %s: leaving %t, cold for %d ms, weights %v",
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

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
