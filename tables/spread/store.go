package spread

import (
	"fmt"
	"time"

	"currantusher.dev/core"
)

func (s *State) pollStore(now time.Time) []Action {
	if !s.topology.isRelay {
		s.storeDown = false
		return nil
	}
	var actions []Action
	if !now.Before(s.headReadDue) && !s.inFlight(now, s.headReadSentAt) {
		s.headReadSentAt = now
		s.headReadDue = now.Add(s.settings.Timing.PollInterval)
		actions = append(actions, ReadHead{})
	}
	actions = append(actions, s.loadOverdueRows(now)...)
	if s.topology.acceptsDirectEdits && !s.storeDown && !now.Before(s.directEditsDue) {
		s.directEditsDue = now.Add(s.settings.Timing.DirectEditInterval)
		actions = append(actions, AcceptDirectEdits{})
	}
	return actions
}

// handleNewHead loads the rows of a new head revision, or schedules the load so
// that a peer can send them first.
func (s *State) handleNewHead(now time.Time, revision core.Revision) []Action {
	if s.topology.acceptsDirectEdits || s.config == nil {
		return s.startLoad(now)
	}
	if revision > s.headRevision {
		s.headRevision = revision
		s.loadDue = now.Add(s.settings.Timing.PeerGrace)
	}
	return nil
}

// loadOverdueRows loads the rows that no peer has sent within PeerGrace.
func (s *State) loadOverdueRows(now time.Time) []Action {
	if s.headRevision <= s.Revision() || now.Before(s.loadDue) {
		return nil
	}
	s.loadDue = now.Add(s.settings.Timing.PeerGrace)
	return s.startLoad(now)
}

func (s *State) startLoad(now time.Time) []Action {
	if s.inFlight(now, s.loadSentAt) {
		return nil
	}
	s.loadSentAt = now
	return []Action{LoadRows{}}
}

// HeadRead processes the outcome of a read of the head revision.
func (s *State) HeadRead(now time.Time, event HeadRead) []Action {
	s.headReadSentAt = time.Time{}
	if event.Err != nil {
		return s.handleHeadFailure(now, event)
	}
	s.storeDown = false
	switch ownRevision := s.Revision(); {
	case event.Revision < ownRevision:
		return s.reportReverted(event.SentAt, event.Revision)
	case event.Revision > ownRevision:
		return s.handleNewHead(now, event.Revision)
	default:
		return s.confirmByStore(now, event.SentAt)
	}
}

// handleHeadFailure records that the table service was not reached. It reports
// only the first of several consecutive failures.
func (s *State) handleHeadFailure(now time.Time, event HeadRead) []Action {
	var actions []Action
	if !s.storeDown {
		detail := "read head revision: " + event.Err.Error()
		actions = append(actions, Report{Code: core.CodeOf(event.Err), Detail: detail})
	}
	s.storeDown = true
	s.storeDownAt = event.SentAt
	return append(actions, s.pullWitnesses(now)...)
}

// reportReverted reports that the table service returned an older revision than
// the current one, unless the read began before the current one was adopted.
func (s *State) reportReverted(sentAt time.Time, revision core.Revision) []Action {
	if !sentAt.After(s.adoptedAt) {
		return nil
	}
	return []Action{Report{
		Code:   core.CodeRevisionReverted,
		Detail: fmt.Sprintf("table service returned revision %d, which is older than the current revision %d", revision, s.Revision()),
	}}
}

// RowsLoaded processes the outcome of a load of the accepted rows.
func (s *State) RowsLoaded(now time.Time, event RowsLoaded) []Action {
	s.loadSentAt = time.Time{}
	push := s.pushAfterLoad
	s.pushAfterLoad = false
	if event.Err != nil {
		return []Action{Report{Code: core.CodeOf(event.Err), Detail: "load configuration rows: " + event.Err.Error()}}
	}
	ownRevision := s.Revision()
	if event.Config.Revision() < ownRevision {
		return s.reportReverted(event.SentAt, event.Config.Revision())
	}
	actions := s.adopt(now, event.Config)
	actions = append(actions, s.confirmByStore(now, event.SentAt)...)
	if push && s.Revision() > ownRevision {
		actions = append(actions, s.pushToRelays()...)
	}
	return actions
}

// confirmByStore confirms the configuration by a reply of the table service. If
// the configuration was stale, a survey of the peers must end first, as at
// process start.
func (s *State) confirmByStore(now, sentAt time.Time) []Action {
	stale := !s.confirmedAt.IsZero() && s.Age(now) > s.settings.MaxAge
	if !stale {
		s.confirm(sentAt)
		return nil
	}
	recentSurvey := s.survey.deadline.After(s.confirmedAt.Add(s.settings.MaxAge)) && now.Sub(s.survey.deadline) < s.settings.MaxAge
	if !recentSurvey {
		return s.startSurvey(now)
	}
	if s.survey.isDone(now) {
		s.confirm(sentAt)
	}
	return nil
}
