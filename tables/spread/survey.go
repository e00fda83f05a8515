package spread

import (
	"time"

	"currantusher.dev/core"
)

// surveyPeers is the number of peers that a survey asks.
const surveyPeers = 3

// survey asks several peers, so that a table service that answers with an old
// revision does not decide alone.
type survey struct {
	begun bool
	until time.Time
	// left are the peers that have not answered.
	left map[core.InstanceID]bool
}

// done reports whether all peers have answered or the time is over.
func (v *survey) done(now time.Time) bool {
	return v.begun && (len(v.left) == 0 || now.After(v.until))
}

func (s *State) beginSurvey(now time.Time) []Action {
	s.survey.begun = true
	s.survey.until = now.Add(s.settings.Timing.Survey)
	s.survey.left = map[core.InstanceID]bool{}
	var actions []Action
	for _, peer := range s.topology.parents[:min(surveyPeers, len(s.topology.parents))] {
		s.survey.left[peer.ID] = true
		actions = append(actions, s.sidePull(now, peer)...)
	}
	return actions
}

// surveyAtStart begins the survey of a fresh process once it knows peers, or
// after the survey time when it knows none.
func (s *State) surveyAtStart(now time.Time) []Action {
	if s.surveyed {
		return nil
	}
	if s.survey.begun {
		s.surveyed = s.survey.done(now)
		return nil
	}
	var actions []Action
	if s.survey.until.IsZero() {
		s.survey.until = now.Add(s.settings.Timing.Survey)
		actions = append(actions, ReadSnapshot{})
	}
	if len(s.topology.parents) > 0 || now.After(s.survey.until) {
		actions = append(actions, s.beginSurvey(now)...)
	}
	return actions
}

// surveyAnswered takes the outcome of a pull of the survey. A failed one is
// repeated while there is time.
func (s *State) surveyAnswered(now time.Time, event Pulled) []Action {
	if event.Parent || !s.survey.left[event.From.ID] {
		return nil
	}
	if event.Err != nil && now.Before(s.survey.until) {
		return s.sidePull(now, event.From)
	}
	delete(s.survey.left, event.From.ID)
	return nil
}
