// Package report measures the burn rate of each route and team: how fast it
// spends the error budget of its service-level objective. Alerts compare the
// rates over two windows, so that they fire quickly at a high rate and ignore
// short spikes.
package report

import (
	"slices"
	"strings"
	"sync"
	"time"

	"currantusher.dev/core"
)

const (
	defaultBucketDuration = 30 * time.Second
	defaultMaxSeries      = 512
	// defaultObjectiveRatio is the fraction of good requests that is required of
	// routes without an objective.
	defaultObjectiveRatio = 0.99
	// maxObjectiveRatio keeps the error budget above zero.
	maxObjectiveRatio = 0.99999
)

// Severity is how urgently operators must react to an alert.
type Severity string

const (
	// SeverityNone means no alert.
	SeverityNone Severity = ""
	// SeverityTicket requires a reaction within the day.
	SeverityTicket Severity = "ticket"
	// SeverityPage requires a reaction at once.
	SeverityPage Severity = "page"
)

// Rule raises an alert while the burn rate is at least MinBurnRate over both
// windows.
type Rule struct {
	ShortWindow time.Duration
	LongWindow  time.Duration
	MinBurnRate float64
	Severity    Severity
}

// DefaultRules page when 2% of a 30-day error budget is spent in an hour, and
// raise a ticket when 5% is spent in six hours.
var DefaultRules = []Rule{
	{ShortWindow: 5 * time.Minute, LongWindow: time.Hour, MinBurnRate: 14.4, Severity: SeverityPage},
	{ShortWindow: 30 * time.Minute, LongWindow: 6 * time.Hour, MinBurnRate: 6, Severity: SeverityTicket},
}

// Config configures a BurnTracker. Zero values mean the defaults.
type Config struct {
	// Rules default to DefaultRules; the first rule that matches sets the alert.
	Rules []Rule
	// BucketDuration is the time resolution of the counts.
	BucketDuration time.Duration
	// MaxSeries bounds the number of pairs of route and team. All further pairs
	// share the series of OtherRoute and OtherTeam.
	MaxSeries int
}

func (c *Config) applyDefaults() {
	if len(c.Rules) == 0 {
		c.Rules = DefaultRules
	}
	if c.BucketDuration <= 0 {
		c.BucketDuration = defaultBucketDuration
	}
	if c.MaxSeries <= 0 {
		c.MaxSeries = defaultMaxSeries
	}
}

// windows returns the distinct windows of the rules, shortest first.
func (c Config) windows() []time.Duration {
	var windows []time.Duration
	for _, rule := range c.Rules {
		windows = append(windows, rule.ShortWindow, rule.LongWindow)
	}
	slices.Sort(windows)
	return slices.Compact(windows)
}

// OtherRoute and OtherTeam name the series of all pairs beyond MaxSeries.
const (
	OtherRoute core.RouteName = "other"
	OtherTeam  core.Team      = "other"
)

type seriesKey struct {
	route core.RouteName
	team  core.Team
}

// bucket counts the requests of one interval of BucketDuration.
type bucket struct {
	// number counts the intervals since the Unix epoch.
	number int64
	total  int64
	bad    int64
}

// seriesCounts holds the counts of one route and team. The bucket of a number is
// at the index number modulo the length of the ring.
type seriesCounts struct {
	objective time.Duration
	ratio     float64
	ring      []bucket
}

// BurnTracker counts the good and bad requests of each route and team in ring
// buffers of time buckets. It is safe for concurrent use.
type BurnTracker struct {
	cfg         Config
	windows     []time.Duration
	bucketCount int

	mu     sync.Mutex
	series map[seriesKey]*seriesCounts
}

// NewBurnTracker returns a tracker without counts.
func NewBurnTracker(cfg Config) *BurnTracker {
	cfg.applyDefaults()
	windows := cfg.windows()
	longest := windows[len(windows)-1]
	return &BurnTracker{
		cfg:         cfg,
		windows:     windows,
		bucketCount: int((longest+cfg.BucketDuration-1)/cfg.BucketDuration) + 1,
		series:      make(map[seriesKey]*seriesCounts),
	}
}

// Record counts one finished request. The request is bad if good is false, or if
// objective is above 0 and latency exceeds it. ratio is the fraction of requests
// that must be good; 0 means 0.99. A request is ignored if its bucket has been
// reused for a later interval.
func (b *BurnTracker) Record(now time.Time, route core.RouteName, team core.Team, objective time.Duration, ratio float64, latency time.Duration, good bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.findOrAdd(seriesKey{route, team})
	s.objective = objective
	s.ratio = clampRatio(ratio)
	number := b.bucketNumber(now)
	cell := &s.ring[number%int64(b.bucketCount)]
	if cell.number > number {
		return
	}
	if cell.number != number {
		*cell = bucket{number: number}
	}
	cell.total++
	if !good || (objective > 0 && latency > objective) {
		cell.bad++
	}
}

func clampRatio(ratio float64) float64 {
	if ratio <= 0 {
		return defaultObjectiveRatio
	}
	return min(ratio, maxObjectiveRatio)
}

func (b *BurnTracker) bucketNumber(now time.Time) int64 {
	return now.UnixNano() / int64(b.cfg.BucketDuration)
}

// findOrAdd returns the series of key, or the shared series of all pairs beyond
// MaxSeries.
func (b *BurnTracker) findOrAdd(key seriesKey) *seriesCounts {
	if s, found := b.series[key]; found {
		return s
	}
	if len(b.series) >= b.cfg.MaxSeries {
		key = seriesKey{OtherRoute, OtherTeam}
		if s, found := b.series[key]; found {
			return s
		}
	}
	s := &seriesCounts{ring: make([]bucket, b.bucketCount)}
	b.series[key] = s
	return s
}

// Report returns the burn rates of all series at now, ordered by route and team.
func (b *BurnTracker) Report(now time.Time) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := Report{At: now}
	for key, s := range b.series {
		report.Series = append(report.Series, b.reportSeries(now, key, s))
	}
	report.sort()
	return report
}

func (b *BurnTracker) reportSeries(now time.Time, key seriesKey, s *seriesCounts) Series {
	out := Series{
		Route:           key.route,
		Team:            key.team,
		ObjectiveMillis: s.objective.Milliseconds(),
		ObjectiveRatio:  s.ratio,
	}
	for _, window := range b.windows {
		out.Windows = append(out.Windows, b.countWindow(now, window, s))
	}
	out.Alert = out.alert(b.cfg.Rules)
	return out
}

// countWindow sums the buckets of a window, of which the current one is the last.
func (b *BurnTracker) countWindow(now time.Time, window time.Duration, s *seriesCounts) Window {
	last := b.bucketNumber(now)
	first := last - int64((window+b.cfg.BucketDuration-1)/b.cfg.BucketDuration) + 1
	out := Window{Seconds: int64(window / time.Second)}
	for _, cell := range s.ring {
		if cell.number >= first && cell.number <= last {
			out.Total += cell.total
			out.Bad += cell.bad
		}
	}
	out.BurnRate = burnRate(out.Total, out.Bad, s.ratio)
	return out
}

// burnRate returns the fraction of bad requests divided by the fraction that the
// objective allows.
func burnRate(total, bad int64, ratio float64) float64 {
	if total == 0 {
		return 0
	}
	return float64(bad) / float64(total) / (1 - ratio)
}

func compareSeries(a, b Series) int {
	if order := strings.Compare(string(a.Route), string(b.Route)); order != 0 {
		return order
	}
	return strings.Compare(string(a.Team), string(b.Team))
}
