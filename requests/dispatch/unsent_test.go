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
type quarantiningSender struct{ scriptedSender }

func (s *quarantiningSender) Send(context.Context, placement.Candidate, wire.Dispatch) (ReplyStream, error) {
	return nil, core.NewRefusal(core.CodePartQuarantined, 0, "prompt part p has crashed backend servers")
}

// Sound servers were ejected for requests that the entry had refused itself.
func TestServerIsNotEjectedForARequestThatTheEntryDidNotSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, placer := newClosureDispatcher(&quarantiningSender{}, "a", 4)
		err := d.Do(t.Context(), testRequest(), &testSink{})
		require.Equal(t, core.CodePartQuarantined, core.CodeOf(err))
		require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err))
		require.Equal(t, 4, placer.Capacity(d.config.Now(), core.Digest{}, []placement.Candidate{{ID: "a", Limit: 4}}))
		require.Zero(t, placer.InFlight("a"))
	})
}
