package roster

import (
	"github.com/rcrowley/go-metrics"

	"currantusher.dev/tables/watch"
)

// RegisterStoreGauges registers gauges of the store's eras: the latest known one, the
// transitions to later ones, the known rows that those did not have, and how often this
// daemon's own row was written again.
func RegisterStoreGauges(registry metrics.Registry, view func() *watch.View, rewrites func() int64) {
	for name, value := range map[string]func() int64{
		"store.era":            func() int64 { return int64(view().Era) },
		"store.era_changes":    func() int64 { return int64(view().EraChanges) },
		"store.rows_dropped":   func() int64 { return int64(view().DroppedRows) },
		"store.rows_rewritten": rewrites,
	} {
		metrics.NewRegisteredFunctionalGauge(name, registry, value)
	}
}
