package direct

import (
	"errors"
	"strconv"
	"time"

	"currantusher.dev/core/fleet"
)

const (
	// maxVersion is the largest integer up to which a float64 holds all of them.
	maxVersion = 1<<53 - 1
	// maxColdTime bounds the time for which a server can be cold.
	maxColdTime = 24 * time.Hour
)

var errOutOfRange = errors.New("the number is out of range")

// reportAnswer reports what the headers of an answer reveal about its server.
func (s *replyStream) reportAnswer() {
	names := s.exchange.headerNames
	version := s.numericHeader(names.WeightsVersion, maxVersion)
	if !s.isNotRun() && s.checkAnswerHeader() != nil {
		// The answer is not the server's own.
		version = 0
	}
	coldMillis := s.numericHeader(names.ColdRemaining, float64(maxColdTime.Milliseconds()))
	s.exchange.observer.AnswerReceived(s.lifetime, s.exchange.request.Model,
		fleet.WeightsVersion(version), time.Duration(coldMillis*float64(time.Millisecond)))
}

// numericHeader returns the value of a header that is a number from 0 to limit, or 0 if it
// is missing. An invalid value is reported and treated as missing, because these headers
// are only hints.
func (s *replyStream) numericHeader(name string, limit float64) float64 {
	text := s.response.Header.Get(name)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err == nil && !(value >= 0 && value <= limit) {
		err = errOutOfRange
	}
	if err != nil {
		s.exchange.observer.InvalidHeader(s.server, name, err)
		return 0
	}
	return value
}
