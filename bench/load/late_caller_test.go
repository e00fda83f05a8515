package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/tables"
)

func TestRequestOfALateCallerIsSentAndItsLatencyCountsFromWhenItWasDue(t *testing.T) {
	server, calls := fakeEntry(t, plainReply(publishedRoot))
	r := newTestRunner(server, Route{Name: "draft", Kind: tables.PoolEngine, Share: 1}, 4)
	late := 2 * (r.cfg.Deadline + r.cfg.Grace)
	r.send(r.newRequest(time.Now().Add(-late)))
	require.EqualValues(t, 1, calls.Load())
	result := r.collector.result()
	require.Equal(t, 1, result.Whole, "%v", result.Examples)
	require.GreaterOrEqual(t, result.Latency.Max(), late.Microseconds())
}
