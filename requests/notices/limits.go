package notices

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

const (
	// limitRetention is how long a limit is kept after its server was last listed, or
	// after it has ended. Reports of the limit that were sent before its end arrive
	// within that time.
	limitRetention = 30 * time.Second
	// minRate is the lowest rate, in requests a second, that is kept to. A server that
	// names a lower one gets a request now and then, which finds out whether the limit
	// has ended.
	minRate = 0.1
	// A limit is stale if no answer has confirmed it for confirmTime and the time in which
	// it permits confirmRequests.
	confirmTime     = time.Second
	confirmRequests = 2
	// changedReportTime is how long a change is in each report to the other entries, and
	// maxChangedReports bounds the changes in one. reportsInTurns is the number of other
	// limits in each report, so that entries which missed the change learn of it.
	changedReportTime = 3 * time.Second
	maxChangedReports = 8
	reportsInTurns    = 2
	// maxReportedAge bounds the ages in a report. The times of larger ones overflow.
	maxReportedAge = 30 * 24 * time.Hour
	// maxTransitTime is the time for which a report may travel. The request in it may
	// have been sent earlier by that time than its age says.
	maxTransitTime = 50 * time.Millisecond
)

// Unlimited is the rate of a server that names no limit.
var Unlimited = math.Inf(1)

// LimitObservation is what one answer of a server says about its limit.
type LimitObservation struct {
	// PerSecond is the limit in requests a second, or Unlimited.
	PerSecond float64
	// SentAt and ReceivedAt are when the request was sent and when the head of the
	// answer arrived. The server wrote the answer between them.
	SentAt, ReceivedAt time.Time
	// Source is the entry that received the answer.
	Source string
}

// isLaterThan reports whether the answer was written after the other one for certain.
func (o LimitObservation) isLaterThan(other LimitObservation) bool {
	return o.SentAt.After(other.ReceivedAt)
}

// LimitChange says what an observation changed.
type LimitChange struct {
	// Previous and Current are the limits in requests a second, or Unlimited.
	Previous, Current float64
}

// IsNone reports whether the limit has stayed as it was.
func (c LimitChange) IsNone() bool { return c.Previous == c.Current }

// Limits holds the limits that servers name, each for one lifetime of a server. It is
// safe for concurrent use.
type Limits struct {
	// count is the number of records, so that the usual case of none needs no lock.
	count atomic.Int64

	mu         sync.Mutex
	byLifetime map[Lifetime]*limitRecord
	// nextReported is the position from which the next report goes on.
	nextReported int
}

type limitRecord struct {
	LimitObservation
	// changedAt is when this process learned of the limit or its end.
	changedAt time.Time
	listedAt  time.Time
	// reports is the number of reports with the change.
	reports int
}

// NewLimits returns an empty set.
func NewLimits() *Limits { return &Limits{byLifetime: map[Lifetime]*limitRecord{}} }

// Record records what an answer says, which was received here or by another entry.
// Answers may overtake each other. If it is not certain which of two was written last,
// the lower limit counts until a later answer names another one.
func (l *Limits) Record(now time.Time, server Lifetime, o LimitObservation) LimitChange {
	if l.count.Load() == 0 && o.PerSecond == Unlimited {
		return LimitChange{Previous: Unlimited, Current: Unlimited}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.byLifetime[server]
	switch {
	case record == nil && o.PerSecond == Unlimited:
		return LimitChange{Previous: Unlimited, Current: Unlimited}
	case record == nil:
		l.byLifetime[server] = &limitRecord{LimitObservation: o, changedAt: now, listedAt: now}
		l.count.Add(1)
		return LimitChange{Previous: Unlimited, Current: o.PerSecond}
	}
	change := LimitChange{Previous: record.PerSecond, Current: record.PerSecond}
	switch {
	case o.PerSecond == record.PerSecond:
		record.confirm(o)
	case record.isLaterThan(o) || o.PerSecond > record.PerSecond && !o.isLaterThan(record.LimitObservation):
		// The answer was written before the one that counts, or possibly so.
	default:
		record.LimitObservation, record.changedAt, record.reports, change.Current = o, now, 0, o.PerSecond
	}
	return change
}

// confirm records a later answer with the same limit.
func (r *limitRecord) confirm(o LimitObservation) {
	if o.ReceivedAt.After(r.ReceivedAt) {
		r.ReceivedAt, r.Source = o.ReceivedAt, o.Source
	}
	if o.SentAt.After(r.SentAt) {
		r.SentAt = o.SentAt
	}
}

// Rate returns the number of requests a second that a server accepts from all entries
// together. It returns false if it names no limit.
func (l *Limits) Rate(server Lifetime) (perSecond float64, limited bool) {
	if l.count.Load() == 0 {
		return Unlimited, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.byLifetime[server]
	if record == nil || record.PerSecond == Unlimited {
		return Unlimited, false
	}
	return max(record.PerSecond, minRate), true
}

// IsStale reports whether a server names a limit and no answer has confirmed it for
// longer than expected, even if the server gets only the requests that it allows.
func (l *Limits) IsStale(now time.Time, server Lifetime) bool {
	perSecond, limited := l.Rate(server)
	if !limited {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.byLifetime[server]
	expected := confirmTime + time.Duration(confirmRequests/perSecond*float64(time.Second))
	return record != nil && now.Sub(record.ReceivedAt) > expected
}

// IsEmpty reports whether no limit is known.
func (l *Limits) IsEmpty() bool { return l.count.Load() == 0 }

// Sweep drops ended limits and those of servers that are no longer listed, after a
// retention time. It returns the number of limited servers, and the time since the
// limit was last confirmed that has been confirmed least recently.
func (l *Limits) Sweep(now time.Time, isListed func(Lifetime) bool) (limited int, oldest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for server, record := range l.byLifetime {
		if isListed(server) {
			record.listedAt = now
		}
		hasEnded := record.PerSecond == Unlimited
		if now.Sub(record.listedAt) > limitRetention || hasEnded && now.Sub(record.changedAt) > limitRetention {
			delete(l.byLifetime, server)
			l.count.Add(-1)
			continue
		}
		if !hasEnded {
			limited++
			oldest = max(oldest, now.Sub(record.ReceivedAt))
		}
	}
	return limited, oldest
}

// Report returns up to maxChangedReports limits that have changed recently, those first
// that were reported least since, and some of the others, in turns. Ended limits are
// included until they are dropped.
func (l *Limits) Report(now time.Time) []fleet.RateLimit {
	if l.count.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	servers := slices.SortedFunc(maps.Keys(l.byLifetime), compareLifetimes)
	var changed []Lifetime
	for _, server := range servers {
		if l.byLifetime[server].isNews(now) {
			changed = append(changed, server)
		}
	}
	var list []fleet.RateLimit
	for i := range min(reportsInTurns, len(servers)) {
		server := servers[(l.nextReported+i)%len(servers)]
		if !l.byLifetime[server].isNews(now) {
			list = append(list, l.byLifetime[server].report(now, server))
		}
	}
	l.nextReported = (l.nextReported + reportsInTurns) % len(servers)
	slices.SortStableFunc(changed, func(a, b Lifetime) int {
		return cmp.Compare(l.byLifetime[a].reports, l.byLifetime[b].reports)
	})
	for _, server := range changed[:min(len(changed), maxChangedReports)] {
		l.byLifetime[server].reports++
		list = append(list, l.byLifetime[server].report(now, server))
	}
	return list
}

// isNews reports whether the limit has changed recently, or was not reported since.
func (r *limitRecord) isNews(now time.Time) bool {
	return r.reports == 0 || now.Sub(r.changedAt) < changedReportTime
}

func (r *limitRecord) report(now time.Time, server Lifetime) fleet.RateLimit {
	report := fleet.RateLimit{
		Server: server.Server, Incarnation: server.Incarnation,
		SentAge: now.Sub(r.SentAt), ReceivedAge: now.Sub(r.ReceivedAt),
	}
	if report.HasEnded = r.PerSecond == Unlimited; !report.HasEnded {
		report.PerSecond = r.PerSecond
	}
	return report
}

// ReportedObservation returns the observation in a report that arrived at now. It returns
// false if the report is not valid.
func ReportedObservation(now time.Time, source core.InstanceID, report fleet.RateLimit) (LimitObservation, bool) {
	o := LimitObservation{
		PerSecond: report.PerSecond, Source: string(source),
		SentAt: now.Add(-report.SentAge - maxTransitTime), ReceivedAt: now.Add(-report.ReceivedAge),
	}
	if report.HasEnded {
		o.PerSecond = Unlimited
	}
	return o, o.PerSecond >= 0 && report.SentAge <= maxReportedAge && report.SentAge >= report.ReceivedAge && report.ReceivedAge >= 0
}

func compareLifetimes(a, b Lifetime) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Incarnation, b.Incarnation))
}
