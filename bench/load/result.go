package load

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is the final state of a request as observed by its caller.
type Outcome int

// Outcomes.
const (
	// OutcomeWhole: a complete and correct answer.
	OutcomeWhole Outcome = iota
	// OutcomeRefused: refused, and no attempt can have run.
	OutcomeRefused
	// OutcomeUnknown: a problem, and some attempt ran or may have run.
	OutcomeUnknown
	// OutcomeLost: no answer in time, a broken connection or a wrong answer.
	OutcomeLost
)

const (
	histogramMinMicros = 1
	histogramMaxMicros = int64(10 * time.Minute / time.Microsecond)
	histogramDigits    = 3
	maxExamples        = 20
	maxCheckedRefusals = 1 << 18
	// PointInterval is the time that one point of the timeline covers.
	PointInterval = 250 * time.Millisecond
)

// Point counts the requests that ended in one interval of the timeline.
type Point struct {
	// Seconds is the time from the start of the run to that of the interval.
	Seconds          float64 `json:"seconds"`
	Whole            int     `json:"whole"`
	Refused          int     `json:"refused"`
	Unknown          int     `json:"unknown"`
	Lost             int     `json:"lost"`
	MaxLatencyMillis int64   `json:"max_millis"`
}

// Result sums up a run as observed by the callers.
type Result struct {
	// Start is the time of the first point of the timeline.
	Start   time.Time
	Total   int
	Whole   int
	Refused int
	Unknown int
	Lost    int
	// Wrong counts the lost requests that ended with a wrong answer.
	Wrong int
	// Attempts, RefusedAttempts and CutAttempts count HTTP requests.
	Attempts        int
	RefusedAttempts int
	CutAttempts     int
	// FalseRefusals counts requests that were refused as not run and ran.
	FalseRefusals int
	// UncheckedRefusals counts refusals that could not be checked at the
	// stand-ins.
	UncheckedRefusals int
	// FirstByte and Latency cover complete answers, in microseconds from the
	// start of the request.
	FirstByte *hdrhistogram.Histogram
	Latency   *hdrhistogram.Histogram
	// Timeline has one point for each PointInterval.
	Timeline []Point
	// ByCode counts requests without a complete answer by their last result code.
	ByCode map[string]int
	// Examples describes the first lost requests and false refusals.
	Examples []string
}

// FirstByteP95 returns the 95th percentile of the time to the first byte.
func (r Result) FirstByteP95() time.Duration {
	return time.Duration(r.FirstByte.ValueAtQuantile(95)) * time.Microsecond
}

// LongestGap returns the longest time without a complete answer, to the
// resolution of the timeline.
func (r Result) LongestGap() time.Duration {
	longest, gap := 0, 0
	for _, point := range r.Timeline {
		if point.Whole > 0 {
			gap = 0
			continue
		}
		gap++
		longest = max(longest, gap)
	}
	return time.Duration(longest) * PointInterval
}

// MinWholeRatio returns the lowest fraction of complete answers among the
// requests that ended in any window of one second between from and to; 1 when no
// request ended.
func (r Result) MinWholeRatio(from, to time.Time) float64 {
	const pointsPerWindow = int(time.Second / PointInterval)
	first := max(0, int(from.Sub(r.Start)/PointInterval))
	last := min(len(r.Timeline), int(to.Sub(r.Start)/PointInterval)+1)
	lowest := 1.0
	for slot := first; slot < last; slot++ {
		window := r.Timeline[slot:min(slot+pointsPerWindow, last)]
		lowest = min(lowest, wholeRatio(window))
	}
	return lowest
}

func wholeRatio(points []Point) float64 {
	whole, all := 0, 0
	for _, point := range points {
		whole += point.Whole
		all += point.Whole + point.Refused + point.Unknown + point.Lost
	}
	if all == 0 {
		return 1
	}
	return float64(whole) / float64(all)
}

// resultCollector sums up the requests of all callers. It is safe for concurrent
// use.
type resultCollector struct {
	mu             sync.Mutex
	start          time.Time
	totals         Result
	refusedRunKeys []string
}

func newResultCollector(start time.Time) *resultCollector {
	return &resultCollector{start: start, totals: Result{
		Start:     start,
		FirstByte: hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramDigits),
		Latency:   hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramDigits),
		ByCode:    make(map[string]int),
	}}
}

func (c *resultCollector) add(req *clientRequest, h requestHistory, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.Total++
	c.totals.Attempts += h.attempts
	c.totals.RefusedAttempts += h.refusedAttempts
	c.totals.CutAttempts += h.cutAttempts
	outcome := h.outcome()
	if !req.route.AtMostOnce || outcome == OutcomeRefused {
		c.keepRefusals(h.refusedRunKeys)
	}
	c.countOutcome(outcome, h)
	c.addToTimeline(outcome, now, now.Sub(req.start))
	if outcome == OutcomeWhole {
		_ = c.totals.FirstByte.RecordValue(clampMicros(h.last.timeToFirstByte))
		_ = c.totals.Latency.RecordValue(clampMicros(now.Sub(req.start)))
		return
	}
	c.totals.ByCode[h.last.codeName()]++
	if outcome == OutcomeLost {
		c.addExample("lost: request %d of team %s on route %s after %d attempts: %s", req.number, req.team, req.route.Name, h.attempts, h.last.detail)
	}
}

func (a attempt) codeName() string {
	if a.code == 0 {
		return "none"
	}
	return a.code.String()
}

func clampMicros(d time.Duration) int64 {
	return min(max(d.Microseconds(), histogramMinMicros), histogramMaxMicros)
}

// keepRefusals stores the run keys of refused attempts for checkRefusals, up to
// maxCheckedRefusals. The attempts of an at-most-once request share one key, so
// the caller passes them only when all attempts were refused.
func (c *resultCollector) keepRefusals(keys []string) {
	remaining := maxCheckedRefusals - len(c.refusedRunKeys)
	c.refusedRunKeys = append(c.refusedRunKeys, keys[:min(remaining, len(keys))]...)
	c.totals.UncheckedRefusals += max(0, len(keys)-remaining)
}

func (c *resultCollector) countOutcome(outcome Outcome, h requestHistory) {
	switch outcome {
	case OutcomeWhole:
		c.totals.Whole++
	case OutcomeRefused:
		c.totals.Refused++
	case OutcomeUnknown:
		c.totals.Unknown++
	case OutcomeLost:
		c.totals.Lost++
	}
	if h.last.outcome == attemptWrongAnswer {
		c.totals.Wrong++
	}
}

func (c *resultCollector) addToTimeline(outcome Outcome, now time.Time, latency time.Duration) {
	slot := int(now.Sub(c.start) / PointInterval)
	for len(c.totals.Timeline) <= slot {
		offset := time.Duration(len(c.totals.Timeline)) * PointInterval
		c.totals.Timeline = append(c.totals.Timeline, Point{Seconds: offset.Seconds()})
	}
	point := &c.totals.Timeline[slot]
	point.MaxLatencyMillis = max(point.MaxLatencyMillis, latency.Milliseconds())
	switch outcome {
	case OutcomeWhole:
		point.Whole++
	case OutcomeRefused:
		point.Refused++
	case OutcomeUnknown:
		point.Unknown++
	case OutcomeLost:
		point.Lost++
	}
}

func (c *resultCollector) addExample(format string, args ...any) {
	if len(c.totals.Examples) < maxExamples {
		c.totals.Examples = append(c.totals.Examples, fmt.Sprintf(format, args...))
	}
}

func (c *resultCollector) refusals() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.refusedRunKeys)
}

func (c *resultCollector) countFalseRefusal(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.FalseRefusals++
	c.addExample("false refusal: the request with run key %s was refused as not run but ran", key)
}

func (c *resultCollector) countUncheckedRefusal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.UncheckedRefusals++
}

func (c *resultCollector) result() Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.totals
}
