package staging

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

// An agent that waits for another one to fetch a piece must say so at once: the one that
// asks may have another list of agents, and two such agents waited for each other.
func TestAgentThatWaitsForOthersSaysSo(t *testing.T) {
	agents := agentsInRegions("north", "north", "north", "north")
	m := newTestManager(nil)
	m.addTestJob(TargetVersion{VersionKey: olderKey}, 1)
	plan := NewFetchPlan(agents[0], "north", 4, agents)
	m.setPlan(olderKey, plan)
	m.piecesOf(olderKey).contents[0] = []byte("piece")
	server := httptest.NewServer(m.Handler())
	defer server.Close()
	self := Agent{ID: "a-0", Addr: strings.TrimPrefix(server.URL, "http://")}
	peers := NewHTTPPeers()
	for piece := 1; piece < 4; piece++ {
		err := peers.AwaitPiece(t.Context(), self, olderKey, piece)
		if plan.rank(piece) > 1 {
			require.ErrorIs(t, err, errNotAssigned, "piece %d", piece)
		} else {
			require.Equal(t, core.CodeUnknownEntity, core.CodeOf(err), "piece %d is fetched by this agent or the one before it", piece)
		}
	}
	require.NoError(t, peers.AwaitPiece(t.Context(), self, olderKey, 0))
	for _, urgent := range []bool{false, true} {
		content, _, err := peers.Piece(t.Context(), self, olderKey, 0, urgent)
		require.NoError(t, err)
		require.Equal(t, []byte("piece"), content)
	}
}
