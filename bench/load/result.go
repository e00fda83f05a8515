package load

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is the end of a request as its caller sees it.
type Outcome int

// Outcomes.
const (
	// OutcomeWhole: the whole right answer.
	OutcomeWhole Outcome = iota
	// OutcomeRefused: refused as not run, on every attempt.
	OutcomeRefused
	// OutcomeUnknown: a code that says that the work ran or may have run.
	OutcomeUnknown
	// OutcomeLost: no answer in time, a cut or a wrong answer.
	OutcomeLost
)

const (
	histogramMin    = 1
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	maxExamples     = 20
	maxRefusals     = 1 << 18
	// PointLength is the width of one point of the timeline.
	PointLength = 250 * time.Millisecond
)

// Point counts the requests that ended in one slot of the timeline.
type Point struct {
	// Seconds is the start of the slot since the start of the run.
	Seconds  float64 `json:"seconds"`
	Whole    int     `json:"whole"`
	Refused  int     `json:"refused"`
	Unknown  int     `json:"unknown"`
	Lost     int     `json:"lost"`
	MaxMilli int64   `json:"max_millis"`
}

// Result is what the callers saw.
type Result struct {
	// Start is the time of the first point of the timeline.
	Start   time.Time
	Total   int
	Whole   int
	Refused int
	Unknown int
	Lost    int
	// Wrong counts the lost requests whose answer was passed off as whole.
	Wrong int
	// Attempts, RefusedAttempts and CutAttempts count HTTP requests.
	Attempts        int
	RefusedAttempts int
	CutAttempts     int
	// FalseRefusals counts requests that were refused as not run and ran.
	FalseRefusals int
	// UncheckedRefusals counts refusals for which the stand-ins could not be
	// asked.
	UncheckedRefusals int
	// FirstByte and Latency are in microseconds, of whole answers.
	FirstByte *hdrhistogram.Histogram
	Latency   *hdrhistogram.Histogram
	// Timeline has one point for each PointLength.
	Timeline []Point
	// ByCode counts final outcomes that are not whole, by result code.
	ByCode map[string]int
	// Examples describes the first lost requests and false refusals.
	Examples []string
}

// FirstByteP95 returns the 95th percentile of the time to the first byte.
func (r Result) FirstByteP95() time.Duration {
	return time.Duration(r.FirstByte.ValueAtQuantile(95)) * time.Microsecond
}

// LongestGap returns the longest time between two slots with whole answers,
// to the resolution of the timeline.
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
	return time.Duration(longest) * PointLength
}

// MinWholeRatio returns the lowest fraction of whole answers among the requests
// that ended in any window of one second between two times; 1 when none ended.
func (r Result) MinWholeRatio(from, to time.Time) float64 {
	const pointsPerWindow = int(time.Second / PointLength)
	first := max(0, int(from.Sub(r.Start)/PointLength))
	last := min(len(r.Timeline), int(to.Sub(r.Start)/PointLength)+1)
	lowest := 1.0
	for at := first; at < last; at++ {
		window := r.Timeline[at:min(at+pointsPerWindow, last)]
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

// tally collects results from all callers.
type tally struct {
	mu      sync.Mutex
	start   time.Time
	sum     Result
	refused []string
}

func newTally(start time.Time) *tally {
	return &tally{start: start, sum: Result{
		Start:     start,
		FirstByte: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		Latency:   hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		ByCode:    make(map[string]int),
	}}
}

func (t *tally) add(j *job, h history, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.Total++
	t.sum.Attempts += h.attempts
	t.sum.RefusedAttempts += h.refused
	t.sum.CutAttempts += h.cuts
	outcome := h.outcome()
	if !j.route.AtMostOnce || outcome == OutcomeRefused {
		t.keepRefusals(h.runKeys)
	}
	t.count(outcome, h)
	t.point(outcome, now, now.Sub(j.start))
	if outcome == OutcomeWhole {
		_ = t.sum.FirstByte.RecordValue(clampMicros(h.last.firstByte))
		_ = t.sum.Latency.RecordValue(clampMicros(now.Sub(j.start)))
		return
	}
	t.sum.ByCode[h.last.codeName()]++
	if outcome == OutcomeLost {
		t.example("lost: request %d of %s on %s after %d attempts: %s", j.number, j.team, j.route.Name, h.attempts, h.last.detail)
	}
}

func (a attempt) codeName() string {
	if a.code == 0 {
		return "none"
	}
	return a.code.String()
}

func clampMicros(d time.Duration) int64 {
	return min(max(d.Microseconds(), histogramMin), histogramMax)
}

// keepRefusals remembers the keys of refused attempts, to be checked at the
// stand-ins. Attempts of an at-most-once request share one key, so they count
// only when all of them were refused.
func (t *tally) keepRefusals(keys []string) {
	room := maxRefusals - len(t.refused)
	t.refused = append(t.refused, keys[:min(room, len(keys))]...)
	t.sum.UncheckedRefusals += max(0, len(keys)-room)
}

func (t *tally) count(outcome Outcome, h history) {
	switch outcome {
	case OutcomeWhole:
		t.sum.Whole++
	case OutcomeRefused:
		t.sum.Refused++
	case OutcomeUnknown:
		t.sum.Unknown++
	case OutcomeLost:
		t.sum.Lost++
	}
	if h.last.verdict == verdictWrong {
		t.sum.Wrong++
	}
}

func (t *tally) point(outcome Outcome, now time.Time, latency time.Duration) {
	slot := int(now.Sub(t.start) / PointLength)
	for len(t.sum.Timeline) <= slot {
		at := time.Duration(len(t.sum.Timeline)) * PointLength
		t.sum.Timeline = append(t.sum.Timeline, Point{Seconds: at.Seconds()})
	}
	point := &t.sum.Timeline[slot]
	point.MaxMilli = max(point.MaxMilli, latency.Milliseconds())
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

func (t *tally) example(format string, args ...any) {
	if len(t.sum.Examples) < maxExamples {
		t.sum.Examples = append(t.sum.Examples, fmt.Sprintf(format, args...))
	}
}

func (t *tally) refusals() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.refused)
}

func (t *tally) noteFalseRefusal(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.FalseRefusals++
	t.example("false refusal: %s ran", key)
}

func (t *tally) noteUnchecked() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.UncheckedRefusals++
}

func (t *tally) result() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sum
}
