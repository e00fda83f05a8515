package dispatch

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/requests/placement"
	"currantusher.dev/wire"
)

// quarantiningSender refuses the request at the entry, after a server was picked.
type quarantiningSender struct {
	scriptedSender
	code core.Code
	// sentBefore is the number of attempts that are sent before the refusal.
	sentBefore int
	calls      int
}

func (s *quarantiningSender) Send(context.Context, placement.Candidate, wire.Dispatch) (ReplyStream, error) {
	s.calls++
	if s.calls <= s.sentBefore {
		return &scriptedStream{}, nil
	}
	return nil, core.NewRefusal(s.code, 0, "it has crashed backend servers")
}

var quarantineCodes = []core.Code{core.CodePartQuarantined, core.CodeRequestQuarantined}

// Sound servers were ejected for requests that the entry had refused itself.
func TestServerIsNotEjectedForARequestThatTheEntryDidNotSend(t *testing.T) {
	for _, code := range quarantineCodes {
		synctest.Test(t, func(t *testing.T) {
			d, placer := newClosureDispatcher(&quarantiningSender{code: code}, "a", 4)
			err := d.Do(t.Context(), testRequest(), &testSink{})
			require.Equal(t, code, core.CodeOf(err))
			require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err))
			require.Equal(t, 4, placer.Capacity(d.config.Now(), core.Digest{}, []placement.Candidate{{ID: "a", Limit: 4}}))
			require.Zero(t, placer.InFlight("a"))
		})
	}
}

// A caller that is told so may send a request again that must run once.
func TestQuarantineAfterAnAttemptDoesNotSayThatTheRequestDidNotRun(t *testing.T) {
	for _, code := range quarantineCodes {
		synctest.Test(t, func(t *testing.T) {
			sender := &quarantiningSender{code: code, sentBefore: 1}
			d, _ := newClosureDispatcher(sender, "abc", 4)
			err := d.Do(t.Context(), testRequest(), &testSink{})
			require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(err))
			require.Equal(t, 2, sender.calls, "a refused request was tried at another server")
		})
	}
}
