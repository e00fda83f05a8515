package obs

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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

func TestNewLoggerRejectsBadSettings(t *testing.T) {
	_, err := NewLogger(nil, "loud", "text", "i-1")
	require.ErrorContains(t, err, `log-level "loud"`)
	_, err = NewLogger(nil, "info", "xml", "i-1")
	require.ErrorContains(t, err, `log-format "xml"`)
}
