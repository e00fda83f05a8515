// Package report measures how fast each route and team spends its error
// budget: the service-level burn. Rates over several windows give alerts that
// are quick on fast burn and quiet on short blips.
package report

import (
	"slices"
	"strings"
	"sync"
	"time"

	"currantusher.dev/core"
)

const (
	defaultBucket    = 30 * time.Second
	defaultMaxSeries = 512
	// defaultRatio and defaultObjective are the objective of routes that state
	// none.
	defaultRatio = 0.99
	// maxRatio keeps the error budget above zero.
	maxRatio = 0.99999
)

// Severity is what an alert asks of operators.
type Severity string

const (
	// SeverityNone asks nothing.
	SeverityNone Severity = ""
	// SeverityTicket asks for a look within the day.
	SeverityTicket Severity = "ticket"
	// SeverityPage asks for a look at once.
	SeverityPage Severity = "page"
)

// Rule raises an alert when the burn rate is at least Rate over both windows.
type Rule struct {
	Short    time.Duration
	Long     time.Duration
	Rate     float64
	Severity Severity
}

// DefaultRules page when 2% of a 30-day budget burns in an hour, and give a
// ticket when 5% burns in six hours.
var DefaultRules = []Rule{
	{Short: 5 * time.Minute, Long: time.Hour, Rate: 14.4, Severity: SeverityPage},
	{Short: 30 * time.Minute, Long: 6 * time.Hour, Rate: 6, Severity: SeverityTicket},
}

// Config sets up a Burn.
type Config struct {
	// Rules default to DefaultRules; the first rule that holds names the alert.
	Rules []Rule
	// Bucket is the resolution in time.
	Bucket time.Duration
	// MaxSeries bounds the pairs of route and team. Further ones are counted
	// together under OtherTeam.
	MaxSeries int
}

func (c *Config) applyDefaults() {
	if len(c.Rules) == 0 {
		c.Rules = DefaultRules
	}
	if c.Bucket <= 0 {
		c.Bucket = defaultBucket
	}
	if c.MaxSeries <= 0 {
		c.MaxSeries = defaultMaxSeries
	}
}

// windows returns the distinct windows of the rules, shortest first.
func (c Config) windows() []time.Duration {
	var windows []time.Duration
	for _, rule := range c.Rules {
		windows = append(windows, rule.Short, rule.Long)
	}
	slices.Sort(windows)
	return slices.Compact(windows)
}

// OtherRoute and OtherTeam name the series of everything over MaxSeries.
const (
	OtherRoute core.RouteName = "other"
	OtherTeam  core.Team      = "other"
)

type seriesKey struct {
	route core.RouteName
	team  core.Team
}

// bucket counts the requests of one slot of time.
type bucket struct {
	slot  int64
	total int64
	bad   int64
}

type series struct {
	objective time.Duration
	ratio     float64
	ring      []bucket
}

// BurnTracker counts the good and bad requests of each route and team in rings of
// time buckets. It is safe for concurrent use.
type BurnTracker struct {
	cfg     Config
	windows []time.Duration
	slots   int

	mu     sync.Mutex
	series map[seriesKey]*series
}

// NewBurnTracker returns an empty Burn.
func NewBurnTracker(cfg Config) *BurnTracker {
	cfg.applyDefaults()
	windows := cfg.windows()
	longest := windows[len(windows)-1]
	return &BurnTracker{
		cfg:     cfg,
		windows: windows,
		slots:   int((longest+cfg.Bucket-1)/cfg.Bucket) + 1,
		series:  make(map[seriesKey]*series),
	}
}

// Record counts one finished request. It is bad when good is false, or when
// objective is above 0 and latency is longer. ratio is the fraction that must
// be good; 0 means 0.99.
func (b *BurnTracker) Record(now time.Time, route core.RouteName, team core.Team, objective time.Duration, ratio float64, latency time.Duration, good bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.find(seriesKey{route, team})
	s.objective = objective
	s.ratio = clampRatio(ratio)
	slot := b.slotOf(now)
	cell := &s.ring[slot%int64(b.slots)]
	if cell.slot > slot {
		return
	}
	if cell.slot != slot {
		*cell = bucket{slot: slot}
	}
	cell.total++
	if !good || (objective > 0 && latency > objective) {
		cell.bad++
	}
}

func clampRatio(ratio float64) float64 {
	if ratio <= 0 {
		return defaultRatio
	}
	return min(ratio, maxRatio)
}

func (b *BurnTracker) slotOf(now time.Time) int64 { return now.UnixNano() / int64(b.cfg.Bucket) }

func (b *BurnTracker) find(key seriesKey) *series {
	if s, found := b.series[key]; found {
		return s
	}
	if len(b.series) >= b.cfg.MaxSeries {
		key = seriesKey{OtherRoute, OtherTeam}
		if s, found := b.series[key]; found {
			return s
		}
	}
	s := &series{ring: make([]bucket, b.slots)}
	b.series[key] = s
	return s
}

// Report returns the burn of all series at now, ordered by route and team.
func (b *BurnTracker) Report(now time.Time) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := Report{At: now}
	for key, s := range b.series {
		report.Series = append(report.Series, b.seriesReport(now, key, s))
	}
	report.sort()
	return report
}

func (b *BurnTracker) seriesReport(now time.Time, key seriesKey, s *series) Series {
	out := Series{
		Route:           key.route,
		Team:            key.team,
		ObjectiveMillis: s.objective.Milliseconds(),
		ObjectiveRatio:  s.ratio,
	}
	for _, window := range b.windows {
		out.Windows = append(out.Windows, b.count(now, window, s))
	}
	out.Alert = out.alert(b.cfg.Rules)
	return out
}

// count sums the buckets that a window touches: the current one and those
// whose slot is at most the window's length back.
func (b *BurnTracker) count(now time.Time, window time.Duration, s *series) Window {
	last := b.slotOf(now)
	first := last - int64((window+b.cfg.Bucket-1)/b.cfg.Bucket) + 1
	out := Window{Seconds: int64(window / time.Second)}
	for _, cell := range s.ring {
		if cell.slot >= first && cell.slot <= last {
			out.Total += cell.total
			out.Bad += cell.bad
		}
	}
	out.BurnRate = burnRate(out.Total, out.Bad, s.ratio)
	return out
}

// burnRate is the fraction of bad requests in units of the error budget.
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
