package deployed

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/standin"
	"currantusher.dev/tables/watch"
)

// startStreamHeldBy starts a stream of an entry that a silent server holds.
func (d *deployment) startStreamHeldBy(entry int, silent *standin.Backend) *runningCall {
	d.t.Helper()
	var stream *runningCall
	d.eventually(func() bool {
		stream = d.startStreamOf(entry)
		d.eventually(func() bool { return stream.hasEnded() || silent.Holds(stream.id) }, "a stream reaches no server")
		return silent.Holds(stream.id)
	}, "no stream reaches %s", silent.ID)
	return stream
}

// requireAnswer waits for the end of a stream. It must be whole; unless it has to be, an
// error without a part of an answer will do.
func (c *runningCall) requireAnswer(mustBeWhole bool) {
	c.d.t.Helper()
	c.d.eventually(c.hasEnded, "the stream does not end")
	got := c.result()
	require.NoError(c.d.t, got.err, "the stream was cut after %q", lastLine(got.body))
	if got.status == http.StatusOK || mustBeWhole {
		require.Equal(c.d.t, http.StatusOK, got.status)
		require.Equal(c.d.t, completeStream(leavingEvents), got.body)
		return
	}
	require.GreaterOrEqual(c.d.t, got.status, http.StatusInternalServerError)
	require.Empty(c.d.t, got.body)
}

// Requests that waited at a server got a 502 or a closed connection when the entry left the
// server and the next ones refused.
func TestRequestsThatWaitAtAServerAreAnsweredBesideAStop(t *testing.T) {
	t.Parallel()
	for name, reason := range leaveReasons {
		if name == "ejection" {
			// A silent server can't fail requests.
			continue
		}
		for kindName, kind := range nextKinds {
			if kind.areFull {
				// Few requests reach a server that is ejected while the others are full.
				continue
			}
			t.Run(name+", "+kindName, func(t *testing.T) {
				t.Parallel()
				d := startSilenceDeployment(t, silenceSettings{
					entries: stopsBesideAChange, servers: 1, maxAttempts: kind.maxAttempts,
					retryRatio: kind.retryRatio, retrySlack: kind.retrySlack, events: leavingEvents, gapObjective: patientGapObjective,
				})
				d.startNextServers(kind)
				first := d.engines[0]
				first.Silence()
				var streams []*runningCall
				for entry := range d.entries {
					streams = append(streams, d.startStreamHeldBy(entry, first), d.startStreamHeldBy(entry, first))
				}
				d.stopEntry(0)
				time.Sleep(stopDistance)
				d.stopEntry(1)
				reason.act(d, first)
				time.Sleep(stopDistance)
				d.stopEntry(2)
				time.AfterFunc(longSilence, first.Resume)
				for _, stream := range streams {
					// No server has the new weights.
					stream.requireAnswer(name != "weights")
				}
			})
		}
	}
}

// A request that waited in its last attempt began on weights that were out of date.
func TestRequestInItsLastAttemptIsRecalledFromOutdatedWeights(t *testing.T) {
	t.Parallel()
	d := startSilenceDeployment(t, silenceSettings{entries: 1, servers: 1, maxAttempts: 1, retryRatio: 1, retrySlack: 1000, gapObjective: patientGapObjective})
	first := d.engines[0]
	first.Silence()
	stream := d.startStreamHeldBy(0, first)
	d.store.PutVersion(modelName, 2)
	d.eventually(stream.hasEnded, "the stream does not end")
	got := stream.result()
	require.NoError(t, got.err)
	require.Equal(t, http.StatusBadGateway, got.status)
	d.awaitLogLine("Recalling a request", "server="+first.ID)
}

// A request at an engine whose row had lapsed was not recalled.
func TestRequestAtAnUnlistedEngineIsRecalledFromOutdatedWeights(t *testing.T) {
	t.Parallel()
	d := startSilenceDeployment(t, silenceSettings{entries: 1, servers: 1, maxAttempts: 1, retryRatio: 1, retrySlack: 1000, gapObjective: patientGapObjective})
	first := d.engines[0]
	first.Silence()
	stream := d.startStreamHeldBy(0, first)
	d.store.Remove(watch.ServersTable, first.ID)
	d.awaitLogLine("msg=gone", "key="+first.ID)
	d.store.PutVersion(modelName, 2)
	d.eventually(stream.hasEnded, "the stream does not end")
	got := stream.result()
	require.NoError(t, got.err)
	require.Equal(t, http.StatusBadGateway, got.status)
	d.awaitLogLine("Recalling a request", "server="+first.ID)
}

// A request that may run only once stayed at a silent engine and began on outdated weights.
func TestRequestThatMayRunOnceIsRecalledFromOutdatedWeights(t *testing.T) {
	t.Parallel()
	d := startSilenceDeployment(t, silenceSettings{entries: 1, servers: 1, maxAttempts: 1, gapObjective: patientGapObjective})
	first := d.engines[0]
	first.Silence()
	stream := d.startCall(d.entries[0].CallerAddr, streamHost, onceRoutePrefix+"x")
	d.eventually(func() bool { return first.Holds(stream.id) }, "the stream reaches no server")
	d.store.PutVersion(modelName, 2)
	d.eventually(stream.hasEnded, "the stream does not end")
	got := stream.result()
	require.NoError(t, got.err)
	require.Equal(t, http.StatusBadGateway, got.status, "a 503 would promise that the engine drops the request")
	d.awaitLogLine("Recalling a request", "server="+first.ID)
}
