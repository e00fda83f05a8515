package deployed

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/standin"
	"currantusher.dev/tables/watch"
)

// putChangedConfig writes a configuration with another route, fewer slots and another
// number of attempts, and waits until all entries have it in force.
func (d *deployment) putChangedConfig(version int64, maxAttempts, slots int) {
	d.t.Helper()
	host := fmt.Sprintf("new-%d.example", version)
	config := silenceConfig(version, d.originAddr, maxAttempts)
	for i := range config.Services {
		if engine := config.Services[i].Engine; engine != nil {
			engine.Slots = slots
		}
	}
	config.Routes = append(config.Routes, fleet.Route{
		Name: "r-new", Host: host, Prefix: "/", Kind: fleet.RouteSafe, Timeout: 20 * time.Second, LatencyObjective: silenceObjective,
		Targets: []fleet.Target{{Service: "lots", Weight: 1}}, MaxAttempts: maxAttempts,
	})
	d.store.PutConfig(config)
	for entry := range d.entries {
		d.eventually(func() bool {
			status := d.sendRequest(entry, host, "POST", "/", "", nil).status
			return status == http.StatusOK || status == http.StatusServiceUnavailable
		}, "entry %d does not use version %d", entry, version)
	}
}

func (d *deployment) awaitRefusalByOneOf(servers []*standin.Backend) {
	d.t.Helper()
	d.eventually(func() bool { return d.countRefusals(servers) > 0 }, "no other server is asked")
}

func (d *deployment) countRefusals(servers []*standin.Backend) int {
	count := 0
	for _, server := range servers {
		count += len(server.RefusedRequests())
	}
	return count
}

// awaitLogLine waits until an entry has logged a line with all of these texts.
func (d *deployment) awaitLogLine(texts ...string) {
	d.t.Helper()
	d.eventually(func() bool { return d.log.count(texts...) > 0 }, "no log line has %q", texts)
}

func TestStreamOfASilentServerIsNotCutWhenTheEntryStops(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(d *deployment, first *standin.Backend){
		"server goes on": func(_ *deployment, first *standin.Backend) { first.Resume() },
		"server dies": func(d *deployment, first *standin.Backend) {
			refuseAll(d.engines, standin.RefuseNone)
			d.kill(first)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachMaxAttempts(t, func(t *testing.T, d *deployment) {
				stream, first := d.startRefusedStream(standin.RefuseNotExecuted)
				next := others(d.engines, first)
				d.stopEntry(0)
				d.awaitRefusalByOneOf(next)
				end(d, first)
				stream.requireWholeStream()
			})
		})
	}
}

func TestRequestAtASilentServerIsAnsweredWhenTheEntryStops(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ host, path string }{
		"safe": {plainHost, "/look"}, "unsafe": {plainHost, "/issue/1"}, "stream": {streamHost, silentRoutePrefix + "x"},
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
				d.stopEntry(0)
				waitAtMost(longSilence, call.hasEnded)
				servers[0].Resume()
				d.eventually(call.hasEnded, "the call does not end")
				got := call.result()
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status, got.body)
				if c.host == streamHost {
					call.requireWholeStream()
				}
			})
		})
	}
}

func TestStreamOfASilentServerIsNotCutByAConfigurationChange(t *testing.T) {
	t.Parallel()
	for _, slots := range []int{1, 32} {
		t.Run(fmt.Sprint(slots, " slots"), func(t *testing.T) {
			t.Parallel()
			forEachMaxAttempts(t, func(t *testing.T, d *deployment) {
				stream, first := d.startRefusedStream(standin.RefuseMisdirected)
				next := others(d.engines, first)
				d.putChangedConfig(2, 2, slots)
				d.awaitRefusalByOneOf(next)
				d.putChangedConfig(3, 3, slots)
				first.Resume()
				stream.requireWholeStream()
			})
		})
	}
}

func (d *deployment) countHolders(c *runningCall) int {
	count := 0
	for _, server := range d.engines {
		if server.Holds(c.id) {
			count++
		}
	}
	return count
}

// isRunningAt reports whether a server runs the call and has not noticed that its caller
// has left.
func (c *runningCall) isRunningAt(server *standin.Backend) bool {
	return slices.ContainsFunc(server.ExecutedRequests(), func(executed standin.ExecutedRequest) bool {
		return executed.Body == c.body && !executed.Aborted
	})
}

func TestCallerThatLeavesDuringASilenceLeavesNoRequestBehind(t *testing.T) {
	t.Parallel()
	t.Run("others refuse", func(t *testing.T) {
		t.Parallel()
		forEachMaxAttempts(t, func(t *testing.T, d *deployment) {
			stream, first := d.startRefusedStream(standin.RefuseNotExecuted)
			next := others(d.engines, first)
			d.awaitRefusals(next)
			stream.cancel()
			d.awaitLogLine("Request ended.", stream.id)
			d.eventually(func() bool { return first.LeftConnections() > 0 }, "the connection to the silent server stays open")
			before := d.countRefusals(next)
			time.Sleep(longSilence)
			require.LessOrEqual(t, d.countRefusals(next), before+1, "at most the request that crossed the caller's leaving")
		})
	})
	t.Run("others are silent", func(t *testing.T) {
		t.Parallel()
		forEachMaxAttempts(t, func(t *testing.T, d *deployment) {
			stream, first := d.startInterruptedStream(d.silenceEngines)
			next := others(d.engines, first)
			d.eventually(func() bool { return stream.isHeldByAny(next) }, "no other server is asked")
			stream.cancel()
			d.awaitLogLine("Request ended.", stream.id)
			d.eventually(func() bool { return first.LeftConnections() > 0 }, "the connection to the silent server stays open")
			asked := d.countHolders(stream)
			time.Sleep(longSilence)
			require.Equal(t, asked, d.countHolders(stream), "a server is asked after the caller has left")
			d.resumeAll()
			for _, server := range d.engines {
				d.eventually(func() bool { return !stream.isRunningAt(server) }, "%s works on after the caller has left", server.ID)
			}
		})
	})
}

func TestStreamOfASilentServerIsNotCutByAChangeOfItsRow(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(d *deployment, first *standin.Backend){
		"draining":   func(_ *deployment, first *standin.Backend) { first.Drain() },
		"gone":       func(d *deployment, first *standin.Backend) { d.store.Remove(watch.ServersTable, first.ID) },
		"evacuation": func(d *deployment, _ *standin.Backend) { d.store.Evacuate("a") },
		"weights":    func(d *deployment, _ *standin.Backend) { d.store.PutVersion(modelName, 2) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachMaxAttempts(t, func(t *testing.T, d *deployment) {
				stream, first := d.startRefusedStream(standin.RefuseMisdirected)
				change(d, first)
				d.putChangedConfig(2, 2, 16)
				time.Sleep(longSilence)
				first.Resume()
				stream.requireWholeStream()
			})
		})
	}
}
