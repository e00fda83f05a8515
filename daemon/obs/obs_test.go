package obs

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

func TestMetricsEndpoint(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests.whole", registry).Inc(3)
	metrics.GetOrRegisterHistogram("ttft.millis", registry, metrics.NewUniformSample(10)).Update(7)
	mux := http.NewServeMux()
	RegisterHandlers(mux, registry, func() error { return nil })

	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	page := recorder.Body.String()
	require.Contains(t, page, "currantusher_requests_whole 3\n")
	require.Contains(t, page, `currantusher_ttft_millis{quantile="0.95"} 7`)
	require.Equal(t, 9, strings.Count(page, "invariant_violations_total"))
}

// observedRegistry counts the pages that are built at the same time.
type observedRegistry struct {
	metrics.Registry
	building, most atomic.Int32
}

func (r *observedRegistry) Each(visit func(name string, metric any)) {
	if building := r.building.Add(1); building > r.most.Load() {
		r.most.Store(building)
	}
	defer r.building.Add(-1)
	time.Sleep(time.Millisecond)
	r.Registry.Each(visit)
}

// A crowd of readers made an entry hold as many pages' metrics as connections.
func TestPagesOfMetricsAreBuiltOneAtATime(t *testing.T) {
	registry := &observedRegistry{Registry: metrics.NewRegistry()}
	mux := http.NewServeMux()
	RegisterHandlers(mux, registry, func() error { return nil })
	var readers sync.WaitGroup
	for range 32 {
		readers.Go(func() { mux.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/metrics", nil)) })
	}
	readers.Wait()
	require.EqualValues(t, 1, registry.most.Load())
}

func TestNewLoggerRejectsBadSettings(t *testing.T) {
	_, err := NewLogger(nil, "loud", "text", "i-1")
	require.ErrorContains(t, err, `log-level "loud"`)
	_, err = NewLogger(nil, "info", "xml", "i-1")
	require.ErrorContains(t, err, `log-format "xml"`)
}
