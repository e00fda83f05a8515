package obs

import (
	"github.com/sirupsen/logrus"

	"currantusher.dev/core/httpcall"
)

// AnswerFaults returns a value that logs answers over their bound, each kind and part of a
// server once.
func AnswerFaults(log *logrus.Entry) *httpcall.Faults {
	return httpcall.NewFaults(func(fault *httpcall.TooLargeError) {
		log.WithFields(logrus.Fields{"server": fault.Server, "answer": fault.Kind, "part": fault.Part, "limit": fault.Limit}).
			Warn("The server sent more than an answer of this kind may be; the call fails and its connection is closed.")
	})
}
