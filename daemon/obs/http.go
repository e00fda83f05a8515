package obs

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"

	"currantusher.dev/core/invariant"
)

const metricPrefix = "currantusher_"

var quantiles = []float64{0.5, 0.95, 0.99}

// Parameters of the exponentially decaying sample of a histogram: the sample size
// that is usual with go-metrics, and a decay factor that gives most weight to the
// last five minutes.
const (
	histogramSampleSize = 1028
	histogramDecayAlpha = 0.015
)

// Histogram returns the registry's histogram with this name and registers a new
// one if there is none.
func Histogram(registry metrics.Registry, name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, registry, metrics.NewExpDecaySample(histogramSampleSize, histogramDecayAlpha))
}

// RegisterHandlers adds /metrics, /healthz and /readyz to mux. ready returns nil
// when the daemon accepts requests.
func RegisterHandlers(mux *http.ServeMux, registry metrics.Registry, ready func() error) {
	// Pages are built one at a time, so that a crowd of readers takes little memory.
	var building sync.Mutex
	buildPage := func() string {
		building.Lock()
		defer building.Unlock()
		return metricsPage(registry)
	}
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		page := buildPage()
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_, _ = io.WriteString(w, page)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
}

// metricsPage returns the metrics of the registry and the counters of invariant violations
// in the Prometheus text exposition format.
func metricsPage(registry metrics.Registry) string {
	lines := make([]string, 0)
	registry.Each(func(name string, metric any) {
		lines = append(lines, metricLines(metricName(name), metric)...)
	})
	for _, id := range invariant.All() {
		line := fmt.Sprintf("%sinvariant_violations_total{promise=%q} %d", metricPrefix, id, invariant.Violations(id))
		lines = append(lines, line)
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}

func metricName(name string) string {
	return metricPrefix + strings.NewReplacer(".", "_", "-", "_", "/", "_").Replace(name)
}

func metricLines(name string, metric any) []string {
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.GaugeFloat64:
		return []string{fmt.Sprintf("%s %g", name, m.Value())}
	case metrics.Meter:
		return []string{fmt.Sprintf("%s_total %d", name, m.Count())}
	case metrics.Histogram:
		snapshot := m.Snapshot()
		return summaryLines(name, snapshot.Count(), snapshot.Percentiles(quantiles))
	case metrics.Timer:
		snapshot := m.Snapshot()
		return summaryLines(name, snapshot.Count(), snapshot.Percentiles(quantiles))
	default:
		return nil
	}
}

func summaryLines(name string, count int64, values []float64) []string {
	lines := []string{fmt.Sprintf("%s_count %d", name, count)}
	for i, q := range quantiles {
		lines = append(lines, fmt.Sprintf("%s{quantile=\"%g\"} %g", name, q, values[i]))
	}
	return lines
}
