package loader

import (
	"github.com/rcrowley/go-metrics"

	"currantusher.dev/core/fleet"
	"currantusher.dev/weights/staging"
)

// registerOriginGauges registers the gauges of what the agent has received from the origin
// of weights: the bytes of the newest version, of the one before it and of all recent ones,
// and the time without a request while a piece was missing.
func registerOriginGauges(registry metrics.Registry, stats func() staging.OriginStats) {
	bytesOf := func(behind fleet.WeightsVersion) int64 {
		byVersion := stats().BytesByVersion
		var newest fleet.WeightsVersion
		for key := range byVersion {
			newest = max(newest, key.Version)
		}
		var sum int64
		for key, bytes := range byVersion {
			if key.Version == newest-behind {
				sum += bytes
			}
		}
		return sum
	}
	for name, value := range map[string]func() int64{
		"weights.origin_bytes_newest":   func() int64 { return bytesOf(0) },
		"weights.origin_bytes_previous": func() int64 { return bytesOf(1) },
		"weights.origin_bytes_recent": func() (sum int64) {
			for _, bytes := range stats().BytesByVersion {
				sum += bytes
			}
			return sum
		},
		"weights.origin_idle_ms": func() int64 { return stats().Idle.Milliseconds() },
	} {
		metrics.NewRegisteredFunctionalGauge(name, registry, value)
	}
}
