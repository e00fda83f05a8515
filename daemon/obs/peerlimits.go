package obs

import (
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core/netlimit"
	"currantusher.dev/wire"
)

// RegisterPeerLimits registers the metrics of the connections from peers, and logs those that
// are refused, at most once in limitLogPeriod.
func RegisterPeerLimits(registry metrics.Registry, log *logrus.Entry, endpoint *wire.Endpoint) {
	limits := netlimit.Limits{Name: "quic", Conns: wire.MaxInboundConns}
	hits := &limitLog{log: log.WithField("listener", limits.Name), limits: limits, reasons: map[netlimit.Reason]*loggedReason{}}
	endpoint.OnRefused(func() { hits.onHit(netlimit.ReasonConns) })
	gauge := func(name string, value func() int64) {
		_ = registry.Register("listener."+limits.Name+"."+name, metrics.NewFunctionalGauge(value))
	}
	gauge("open", func() int64 {
		open, _ := endpoint.InboundConns()
		return int64(open)
	})
	gauge("open_limit", func() int64 { return wire.MaxInboundConns })
	gauge("over."+string(netlimit.ReasonConns), func() int64 {
		_, refused := endpoint.InboundConns()
		return refused
	})
}
