package deployed

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/standin"
)

// forEachMaxAttempts runs a test before one entry and three servers of each kind.
func forEachMaxAttempts(t *testing.T, test func(t *testing.T, d *deployment)) {
	forEachMaxAttemptsAtGap(t, silenceGapObjective, test)
}

// forEachMaxAttemptsAtGap is forEachMaxAttempts with a gap objective of streams.
func forEachMaxAttemptsAtGap(t *testing.T, gapObjective time.Duration, test func(t *testing.T, d *deployment)) {
	for _, maxAttempts := range []int{2, 3} {
		t.Run(fmt.Sprintf("%d attempts", maxAttempts), func(t *testing.T) {
			t.Parallel()
			d := startSilenceDeployment(t, silenceSettings{entries: 1, servers: 3, maxAttempts: maxAttempts, retryRatio: 1, retrySlack: 1000, gapObjective: gapObjective})
			d.giveRetries()
			test(t, d)
		})
	}
}

func (d *deployment) startStream() *runningCall {
	return d.startCall(d.entries[0].CallerAddr, streamHost, silentRoutePrefix+"x")
}

// startInterruptedStream starts a stream and calls act in its server after some events.
func (d *deployment) startInterruptedStream(act func(first *standin.Backend)) (*runningCall, *standin.Backend) {
	d.t.Helper()
	return d.startInterrupted(silentRoutePrefix+"x", act)
}

func (d *deployment) startInterrupted(path string, act func(first *standin.Backend)) (*runningCall, *standin.Backend) {
	d.t.Helper()
	interrupted := make(chan *standin.Backend, 1)
	standin.InterruptNextStream(d.engines, eventsBeforeSilence, func(first *standin.Backend) {
		act(first)
		interrupted <- first
	})
	stream := d.startCall(d.entries[0].CallerAddr, streamHost, path)
	stream.awaitEvents(eventsBeforeSilence)
	return stream, <-interrupted
}

// startStreamOfASilentServer starts a stream whose server falls silent after some events.
func (d *deployment) startStreamOfASilentServer() (*runningCall, *standin.Backend) {
	d.t.Helper()
	return d.startInterruptedStream(func(first *standin.Backend) { first.Silence() })
}

// startRefusedStream starts a stream whose server falls silent after some events while
// the others refuse all requests.
func (d *deployment) startRefusedStream(refusal standin.Refusal) (*runningCall, *standin.Backend) {
	d.t.Helper()
	return d.startInterruptedStream(func(first *standin.Backend) {
		refuseAll(others(d.engines, first), refusal)
		first.Silence()
	})
}

// silenceEngines makes all engines silent.
func (d *deployment) silenceEngines(*standin.Backend) {
	for _, server := range d.engines {
		server.Silence()
	}
}

func refuseAll(servers []*standin.Backend, refusal standin.Refusal) {
	for _, server := range servers {
		server.Refuse(refusal)
	}
}

// awaitRefusals waits until each server has refused a request.
func (d *deployment) awaitRefusals(servers []*standin.Backend) {
	d.t.Helper()
	d.eventually(func() bool {
		for _, server := range servers {
			if len(server.RefusedRequests()) == 0 {
				return false
			}
		}
		return true
	}, "a server has not been asked")
}

func TestStreamOfASilentServerIsNotCutWhenAllOthersRefuseIt(t *testing.T) {
	t.Parallel()
	for name, refusal := range map[string]standin.Refusal{"421": standin.RefuseMisdirected, "503": standin.RefuseNotExecuted} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachMaxAttempts(t, func(t *testing.T, d *deployment) {
				stream, first := d.startRefusedStream(refusal)
				d.awaitRefusals(others(d.engines, first))
				first.Resume()
				stream.requireWholeStream()
			})
		})
	}
}

func TestStreamOfASilentServerIsNotCutWhenTheNextFallsSilentToo(t *testing.T) {
	t.Parallel()
	forEachMaxAttempts(t, func(t *testing.T, d *deployment) {
		stream, first := d.startInterruptedStream(d.silenceEngines)
		next := others(d.engines, first)
		d.eventually(func() bool { return next[0].Holds(stream.id) || next[1].Holds(stream.id) }, "no other server is asked")
		first.Resume()
		stream.requireWholeStream()
	})
}

func TestRequestsWithoutAnAnswerYetAreServedAfterASilenceWhenAllOthersRefuseThem(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		host, path, answer string
	}{
		"plain":  {plainHost, "/look", "answers"},
		"stream": {streamHost, silentRoutePrefix + "x", completeStream(silenceEvents)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachMaxAttemptsAtGap(t, patientGapObjective, func(t *testing.T, d *deployment) {
				servers := d.plainServers
				if c.host == streamHost {
					servers = d.engines
				}
				refuseAll(servers[1:], standin.RefuseMisdirected)
				servers[0].Silence()
				call := d.startCall(d.entries[0].CallerAddr, c.host, c.path)
				d.eventually(func() bool { return servers[0].Holds(call.id) }, "the silent server does not get the request")
				waitAtMost(longSilence, call.hasEnded)
				servers[0].Resume()
				d.eventually(call.hasEnded, "the call does not end")
				got := call.result()
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status, got.body)
				require.Contains(t, got.body, c.answer)
			})
		})
	}
}

// A request that still waited at silent servers when the stop time of its entry was over
// got no answer at all.
func TestRequestsAtSilentServersAreAnsweredByALeavingEntry(t *testing.T) {
	for name, c := range map[string]struct{ host, path string }{
		"plain":       {plainHost, "/look"},
		"unsafe":      {plainHost, "/issue/1"},
		"stream":      {streamHost, silentRoutePrefix + "x"},
		"stream once": {streamHost, onceRoutePrefix + "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startSilenceDeployment(t, silenceSettings{entries: 1, servers: 2, maxAttempts: 2, retryRatio: 1, retrySlack: 1000, stop: 10 * time.Second, gapObjective: patientGapObjective})
			for _, server := range append(d.plainServers, d.engines...) {
				server.Silence()
			}
			call := d.startCall(d.entries[0].CallerAddr, c.host, c.path)
			d.eventually(func() bool {
				return slices.ContainsFunc(append(d.plainServers, d.engines...), func(s *standin.Backend) bool { return s.Holds(call.id) })
			}, "no server has the call")
			d.stopEntry(0)
			d.awaitLogLine("Left.")
			require.NotRegexp(t, "aborting requests.* requests=1", d.log.warnings(), "the process would end with the request in progress")
			d.eventually(call.hasEnded, "the call does not end")
			got := call.result()
			require.NoError(t, got.err)
			require.Equal(t, http.StatusGatewayTimeout, got.status, got.body)
		})
	}
}

// Engines that stood still for longer ran the requests of callers that had left.
func TestStreamsAtSilentServersEndBeforeTheirCallersLeave(t *testing.T) {
	t.Parallel()
	forEachMaxAttempts(t, func(t *testing.T, d *deployment) {
		d.silenceEngines(nil)
		var streams []*runningCall
		for range 6 {
			streams = append(streams, d.startStream())
		}
		for _, stream := range streams {
			d.awaitLogLine("Request ended.", stream.id, "silent until its caller was about to leave")
			d.eventually(stream.hasEnded, "a stream has no answer")
			got := stream.result()
			require.NoError(t, got.err)
			require.Equal(t, http.StatusGatewayTimeout, got.status, got.body)
		}
		d.resumeAll()
		for _, stream := range streams {
			for _, server := range d.engines {
				d.eventually(func() bool { return !stream.isRunningAt(server) }, "%s works on after the stream has ended", server.ID)
			}
		}
	})
}
