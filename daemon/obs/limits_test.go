package obs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/netlimit"
)

func TestEachClosedConnectionWritesALogLine(t *testing.T) {
	var out bytes.Buffer
	log, err := NewLogger(&out, "info", "text", "a")
	require.NoError(t, err)
	l := &limitLog{log: log.Component("x"), reasons: map[netlimit.Reason]*loggedReason{}}
	for range 1000 {
		l.onHit(netlimit.ReasonConns)
	}
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	count, isDue := l.count(netlimit.ReasonConns, time.Now().Add(limitLogPeriod))
	require.True(t, isDue)
	require.Equal(t, 1000, count, "the next line covers the hits that were not logged")
}

func TestListenerHasNoMetrics(t *testing.T) {
	registry := metrics.NewRegistry()
	LimitListener(registry, DiscardLogger().Component("x"), nil, netlimit.Limits{Name: "peers", Conns: 7})
	page := metricsPage(registry)
	require.Contains(t, page, "currantusher_listener_peers_open_limit 7\n")
	for _, reason := range netlimit.Reasons() {
		require.Contains(t, page, "currantusher_listener_peers_over_"+strings.ReplaceAll(string(reason), "-", "_")+" 0\n")
	}
}
