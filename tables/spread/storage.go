package spread

import (
	"fmt"
	"time"

	"currantusher.dev/core"
)

func (s *State) askStore(now time.Time) []Action {
	if !s.topology.relay {
		s.storeDown = false
		return nil
	}
	var actions []Action
	if !now.Before(s.headDue) && !s.inFlight(now, s.headSent) {
		s.headSent = now
		s.headDue = now.Add(s.settings.Timing.Poll)
		actions = append(actions, ReadHead{})
	}
	actions = append(actions, s.loadLate(now)...)
	if s.topology.absorber && !s.storeDown && !now.Before(s.absorbDue) {
		s.absorbDue = now.Add(s.settings.Timing.Absorb)
		actions = append(actions, Absorb{})
	}
	return actions
}

// headSeen loads the rows of a new head, or gives a peer time to send them.
func (s *State) headSeen(now time.Time, revision core.Revision) []Action {
	if s.topology.absorber || s.config == nil {
		return s.load(now)
	}
	if revision > s.head {
		s.head = revision
		s.loadDue = now.Add(s.settings.Timing.Grace)
	}
	return nil
}

// loadLate loads rows that no peer sent in time.
func (s *State) loadLate(now time.Time) []Action {
	if s.head <= s.Revision() || now.Before(s.loadDue) {
		return nil
	}
	s.loadDue = now.Add(s.settings.Timing.Grace)
	return s.load(now)
}

func (s *State) load(now time.Time) []Action {
	if s.inFlight(now, s.loadSent) {
		return nil
	}
	s.loadSent = now
	return []Action{Load{}}
}

// HeadRead takes the answer of the table service.
func (s *State) HeadRead(now time.Time, event HeadRead) []Action {
	s.headSent = time.Time{}
	if event.Err != nil {
		return s.storeFailed(now, event)
	}
	s.storeDown = false
	switch own := s.Revision(); {
	case event.Revision < own:
		return s.reverted(event.SentAt, event.Revision)
	case event.Revision > own:
		return s.headSeen(now, event.Revision)
	default:
		return s.confirmByStore(now, event.SentAt)
	}
}

// storeFailed notes that the table service was not reached, and reports it the
// first time.
func (s *State) storeFailed(now time.Time, event HeadRead) []Action {
	var actions []Action
	if !s.storeDown {
		detail := "head row: " + event.Err.Error()
		actions = append(actions, Report{Code: core.CodeOf(event.Err), Detail: detail})
	}
	s.storeDown = true
	s.storeDownAt = event.SentAt
	return append(actions, s.askWitnesses(now)...)
}

// reverted reports an answer with an older revision, unless it was asked for
// before the present revision was adopted.
func (s *State) reverted(sentAt time.Time, revision core.Revision) []Action {
	if !sentAt.After(s.adoptedAt) {
		return nil
	}
	return []Action{Report{
		Code:   core.CodeRevisionReverted,
		Detail: fmt.Sprintf("revision %d is older than %d", revision, s.Revision()),
	}}
}

// Loaded takes the accepted rows.
func (s *State) Loaded(now time.Time, event Loaded) []Action {
	s.loadSent = time.Time{}
	push := s.pushAfterLoad
	s.pushAfterLoad = false
	if event.Err != nil {
		return []Action{Report{Code: core.CodeOf(event.Err), Detail: "load: " + event.Err.Error()}}
	}
	own := s.Revision()
	if event.Config.Revision() < own {
		return s.reverted(event.SentAt, event.Config.Revision())
	}
	actions := s.adopt(now, event.Config)
	actions = append(actions, s.confirmByStore(now, event.SentAt)...)
	if push && s.Revision() > own {
		actions = append(actions, s.push()...)
	}
	return actions
}

// confirmByStore confirms the configuration by an answer of the table service.
// A daemon that was stale asks its peers first, as at start.
func (s *State) confirmByStore(now, sentAt time.Time) []Action {
	stale := !s.confirmed.IsZero() && s.Age(now) > s.settings.MaxAge
	if !stale {
		s.confirm(sentAt)
		return nil
	}
	recent := s.survey.until.After(s.confirmed.Add(s.settings.MaxAge)) && now.Sub(s.survey.until) < s.settings.MaxAge
	if !recent {
		return s.beginSurvey(now)
	}
	if s.survey.done(now) {
		s.confirm(sentAt)
	}
	return nil
}
