package deployed

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/standin"
)

// hasRunAtAny reports whether one of the servers has run the call.
func (c *runningCall) hasRunAtAny(servers []*standin.Backend) bool {
	return slices.ContainsFunc(servers, func(server *standin.Backend) bool { return hasExecuted(server, c.body) })
}

// isHeldByAny reports whether the call has reached one of the servers during its silence.
func (c *runningCall) isHeldByAny(servers []*standin.Backend) bool {
	return slices.ContainsFunc(servers, func(server *standin.Backend) bool { return server.Holds(c.id) })
}

func (c *runningCall) countRuns(servers []*standin.Backend) int {
	runs := 0
	for _, server := range servers {
		for _, executed := range server.ExecutedRequests() {
			if executed.Body == c.body {
				runs++
			}
		}
	}
	return runs
}

func TestStreamOfASilentServerIsNotCutWhenTheNextFallsSilentDuringItsAnswer(t *testing.T) {
	t.Parallel()
	for name, events := range map[string]int{"after the head": 0, "after one event": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachMaxAttempts(t, func(t *testing.T, d *deployment) {
				stream, first := d.startInterruptedStream(func(first *standin.Backend) {
					for _, server := range others(d.engines, first) {
						server.SilenceDuringNextStream(events)
					}
					first.Silence()
				})
				next := others(d.engines, first)
				d.eventually(func() bool { return stream.hasRunAtAny(next) }, "no other server is asked")
				waitAtMost(longSilence, stream.hasEnded)
				first.Resume()
				if events > 0 {
					d.resumeAll()
				}
				stream.requireWholeStream()
			})
		})
	}
}

func TestStreamOfASilentServerThatDiesIsNotCut(t *testing.T) {
	t.Parallel()
	t.Run("before another one is asked", func(t *testing.T) {
		t.Parallel()
		forEachMaxAttempts(t, func(t *testing.T, d *deployment) {
			stream, first := d.startStreamOfASilentServer()
			d.kill(first)
			stream.requireWholeStream()
			require.True(t, stream.hasRunAtAny(others(d.engines, first)))
		})
	})
	t.Run("while another one is silent", func(t *testing.T) {
		t.Parallel()
		forEachMaxAttempts(t, func(t *testing.T, d *deployment) {
			stream, first := d.startInterruptedStream(d.silenceEngines)
			next := others(d.engines, first)
			d.eventually(func() bool { return stream.isHeldByAny(next) }, "no other server is asked")
			d.kill(first)
			d.resumeAll()
			stream.requireWholeStream()
		})
	})
	t.Run("after another one has gone on", func(t *testing.T) {
		t.Parallel()
		forEachMaxAttempts(t, func(t *testing.T, d *deployment) {
			stream, first := d.startStreamOfASilentServer()
			d.eventually(func() bool { return stream.hasRunAtAny(others(d.engines, first)) }, "no other server is asked")
			d.kill(first)
			stream.requireWholeStream()
		})
	})
}

// With two attempts, both servers have broken off and the stream may be cut.
func TestEventsOfASilentServerAreNotLostOrRepeatedWhenTheNextBreaksOff(t *testing.T) {
	t.Parallel()
	for maxAttempts := 2; maxAttempts <= 3; maxAttempts++ {
		d := startSilenceDeployment(t, silenceSettings{entries: 1, servers: 3, maxAttempts: maxAttempts, retryRatio: 1, retrySlack: 1000})
		d.giveRetries()
		stream, _ := d.startInterruptedStream(func(first *standin.Backend) {
			for _, server := range others(d.engines, first) {
				server.ResetNextStream(1)
			}
			first.Silence()
		})
		d.eventually(stream.hasEnded, "the stream does not end")
		got := stream.result()
		require.Equal(t, http.StatusOK, got.status)
		require.True(t, strings.HasPrefix(completeStream(silenceEvents), got.body), got.body)
		require.Error(t, got.err, "an incomplete stream must not look complete")
		require.Equal(t, maxAttempts, stream.countRuns(d.engines))
	}
}

func TestStreamContinuesAtAThirdServerWhenTheNextOfASilentOneBreaksOff(t *testing.T) {
	t.Parallel()
	d := startSilenceDeployment(t, silenceSettings{entries: 1, servers: 3, maxAttempts: 3, retryRatio: 1, retrySlack: 1000, hasRemoteServer: true})
	d.giveRetries()
	// The servers of the entry's own data centre are preferred.
	stream, _ := d.startInterruptedStream(func(first *standin.Backend) {
		for _, server := range others(d.engines[:2], first) {
			server.ResetNextStream(1)
		}
		first.Silence()
	})
	stream.requireWholeStream()
	require.Equal(t, 3, stream.countRuns(d.engines))
}

func TestStreamsOfSilentServersAreNotCutWhenTheRetryBudgetIsSpent(t *testing.T) {
	t.Parallel()
	const streamCount, slack, ratio = 24, 2, 0.1
	for silent := 1; silent <= 3; silent++ {
		t.Run(fmt.Sprint(silent, " of 3 silent"), func(t *testing.T) {
			t.Parallel()
			d := startSilenceDeployment(t, silenceSettings{entries: 1, servers: 3, maxAttempts: 2, retryRatio: ratio, retrySlack: slack})
			d.giveRetries()
			var streams []*runningCall
			for range streamCount {
				streams = append(streams, d.startStream())
			}
			for _, stream := range streams {
				stream.awaitEvents(2)
			}
			for _, server := range d.engines[:silent] {
				server.Silence()
			}
			time.Sleep(longSilence)
			d.resumeAll()
			runs := 0
			for _, stream := range streams {
				stream.requireWholeStream()
				runs += stream.countRuns(d.engines)
			}
			require.LessOrEqual(t, runs, streamCount+slack+2*streamCount/10)
		})
	}
}

func TestStreamThatRunsOnceIsNotCutByASilence(t *testing.T) {
	t.Parallel()
	forEachMaxAttempts(t, func(t *testing.T, d *deployment) {
		stream, first := d.startInterrupted(onceRoutePrefix+"x", func(first *standin.Backend) { first.Silence() })
		time.Sleep(longSilence)
		first.Resume()
		stream.requireWholeStream()
		require.Equal(t, 1, stream.countRuns(d.engines))
	})
}

func TestUnsafeRequestAtASilentServerRunsOnceAndIsAnswered(t *testing.T) {
	t.Parallel()
	for name, othersAreSilent := range map[string]bool{"others refuse": false, "others are silent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachMaxAttempts(t, func(t *testing.T, d *deployment) {
				if !othersAreSilent {
					refuseAll(d.plainServers[1:], standin.RefuseMisdirected)
				}
				for _, server := range d.plainServers {
					if othersAreSilent || server == d.plainServers[0] {
						server.Silence()
					}
				}
				call := d.startCall(d.entries[0].CallerAddr, plainHost, "/issue/1")
				d.eventually(func() bool { return call.isHeldByAny(d.plainServers) }, "no silent server gets the request")
				waitAtMost(longSilence, call.hasEnded)
				d.resumeAll()
				d.eventually(call.hasEnded, "the call does not end")
				got := call.result()
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status, got.body)
				require.Equal(t, 1, call.countRuns(d.plainServers))
			})
		})
	}
}
