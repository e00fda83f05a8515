package deployed

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startLeavingDeployment returns a deployment with one entry, whose servers fall silent,
// and a call that waits at one of them.
func startLeavingDeployment(t *testing.T, stop time.Duration, host, path string) (*deployment, *runningCall) {
	t.Helper()
	d := startSilenceDeployment(t, silenceSettings{entries: 1, servers: 2, maxAttempts: 2, retryRatio: 1, retrySlack: 1000, stop: stop})
	d.silenceAll()
	call := d.startCall(d.entries[0].CallerAddr, host, path)
	d.eventually(func() bool { return call.isHeldByAny(append(d.plainServers, d.engines...)) }, "no server has the call")
	return d, call
}

func (d *deployment) silenceAll() {
	for _, server := range append(d.plainServers, d.engines...) {
		server.Silence()
	}
}

func TestUnsafeRequestAnsweredWhenItsEntryIsAboutToStopIsNoEmptySuccess(t *testing.T) {
	t.Parallel()
	const stop = 6 * time.Second
	d, call := startLeavingDeployment(t, stop, plainHost, "/issue/1")
	d.stopEntry(0)
	// After the last answer time and before the end of the entry.
	time.Sleep(stop * 9 / 10)
	d.resumeAll()
	d.eventually(call.hasEnded, "the call does not end")
	got := call.result()
	require.NoError(t, got.err)
	if got.status != http.StatusGatewayTimeout {
		require.Equal(t, http.StatusOK, got.status, got.body)
		require.Contains(t, got.body, "answers "+call.body)
	}
}
