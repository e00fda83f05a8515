package gateway

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/direct"
)

// A stream that began as its entry stopped was cut without a status.
func TestStreamThatBeginsAsWaitsEndIsStopped(t *testing.T) {
	g := &Gateway{durations: newRouteDurations()}
	g.waitsEnd, g.endWaits = context.WithCancel(t.Context())
	g.streamsEnd, g.endStreams = context.WithCancel(t.Context())
	g.leaveBegun, g.beginLeave = context.WithCancel(t.Context())
	w := httptest.NewRecorder()
	c := &call{route: &fleet.Route{Kind: fleet.RouteStreaming}}
	s := g.newStoppable(t.Context(), c, direct.New(nil, fleet.HeaderNames{}, nil, direct.Request{}, w), w)
	defer s.release()
	// The function that cancels the request has been started and has not run yet.
	require.True(t, s.keep())
	require.ErrorIs(t, s.Begin("text/event-stream", core.Digest{}), errStopping)
	require.Equal(t, errStopping, s.stopCause(), "its caller gets a 504")
}
