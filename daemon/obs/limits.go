package obs

import (
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core/netlimit"
)

// limitLogPeriod is the least time between two log lines about one bound of one listener.
const limitLogPeriod = 10 * time.Second

// LimitListener bounds what callers of a listener hold. It registers the listener's metrics
// and logs the bounds that are reached, each at most once in limitLogPeriod.
func LimitListener(registry metrics.Registry, log *logrus.Entry, inner net.Listener, limits netlimit.Limits) *netlimit.Listener {
	hits := &limitLog{log: log.WithField("listener", limits.Name), limits: limits, reasons: map[netlimit.Reason]*loggedReason{}}
	l := netlimit.NewListener(inner, limits, hits.onHit)
	prefix := "listener." + limits.Name + "."
	gauge := func(name string, value func() int64) {
		_ = registry.Register(prefix+name, metrics.NewFunctionalGauge(value))
	}
	gauge("open", func() int64 { return int64(l.Open()) })
	gauge("open_limit", func() int64 { return int64(limits.Conns) })
	gauge("transfer_bytes_held", l.TransferBytes)
	for _, reason := range netlimit.Reasons() {
		gauge("over."+string(reason), func() int64 { return l.Hits(reason) })
	}
	return l
}

// limitLog logs reached bounds. It is safe for concurrent use.
type limitLog struct {
	log    *logrus.Entry
	limits netlimit.Limits

	mu      sync.Mutex
	reasons map[netlimit.Reason]*loggedReason
}

type loggedReason struct {
	lastLine time.Time
	// count is the number of hits since lastLine.
	count int
}

func (l *limitLog) onHit(reason netlimit.Reason) {
	count, isDue := l.count(reason, time.Now())
	if !isDue {
		return
	}
	l.log.WithFields(logrus.Fields{
		"bound": reason, "count": count, "connections": l.limits.Conns, "transfer_bytes": l.limits.TransferBytes, "body_bytes": l.limits.BodyBytes,
	}).Warn("Callers of a listener reached a bound; their connections were closed or their requests refused.")
}

// count adds a hit. isDue reports whether a line is due, which then covers count hits.
func (l *limitLog) count(reason netlimit.Reason, now time.Time) (count int, isDue bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.reasons[reason]
	if r == nil {
		r = &loggedReason{}
		l.reasons[reason] = r
	}
	r.count++
	if now.Sub(r.lastLine) < limitLogPeriod {
		return 0, false
	}
	count, r.count, r.lastLine = r.count, 0, now
	return count, true
}
