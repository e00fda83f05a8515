package spread

import (
	"time"

	"currantusher.dev/core"
)

// maxSurveyPeers is the maximum number of peers in a survey.
const maxSurveyPeers = 3

// survey is a round of pulls from several peers. It guards against a table
// service that returns an old revision.
type survey struct {
	started  bool
	deadline time.Time
	// pending holds the peers that have not replied.
	pending map[core.InstanceID]bool
}

// isDone reports whether all peers have replied or the timeout has passed.
func (v *survey) isDone(now time.Time) bool {
	return v.started && (len(v.pending) == 0 || now.After(v.deadline))
}

func (s *State) startSurvey(now time.Time) []Action {
	s.survey.started = true
	s.survey.deadline = now.Add(s.settings.Timing.SurveyTimeout)
	s.survey.pending = map[core.InstanceID]bool{}
	var actions []Action
	for _, peer := range s.topology.parents[:min(maxSurveyPeers, len(s.topology.parents))] {
		s.survey.pending[peer.ID] = true
		actions = append(actions, s.sidePull(now, peer)...)
	}
	return actions
}

// surveyOnStart starts the survey of a new process when it has parents, or after
// the survey timeout if it has none.
func (s *State) surveyOnStart(now time.Time) []Action {
	if s.surveyDone {
		return nil
	}
	if s.survey.started {
		s.surveyDone = s.survey.isDone(now)
		return nil
	}
	var actions []Action
	if s.survey.deadline.IsZero() {
		s.survey.deadline = now.Add(s.settings.Timing.SurveyTimeout)
		actions = append(actions, ReadSnapshot{})
	}
	if len(s.topology.parents) > 0 || now.After(s.survey.deadline) {
		actions = append(actions, s.startSurvey(now)...)
	}
	return actions
}

// recordSurveyReply processes the outcome of a pull of the survey. It retries a
// failed pull until the timeout.
func (s *State) recordSurveyReply(now time.Time, event Pulled) []Action {
	if event.Parent || !s.survey.pending[event.From.ID] {
		return nil
	}
	if event.Err != nil && now.Before(s.survey.deadline) {
		return s.sidePull(now, event.From)
	}
	delete(s.survey.pending, event.From.ID)
	return nil
}
