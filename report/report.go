package report

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"currantusher.dev/core"
)

// Window holds the request counts and the burn rate of one time window.
type Window struct {
	Seconds  int64   `json:"window_seconds"`
	Total    int64   `json:"total"`
	Bad      int64   `json:"bad"`
	BurnRate float64 `json:"burn_rate"`
}

// Series holds the burn rates of one route and team.
type Series struct {
	Route           core.RouteName `json:"route"`
	Team            core.Team      `json:"team"`
	ObjectiveMillis int64          `json:"objective_millis,omitempty"`
	ObjectiveRatio  float64        `json:"objective_ratio"`
	Alert           Severity       `json:"alert,omitempty"`
	Windows         []Window       `json:"windows"`
}

// Report holds the burn rates of all routes and teams at one time.
type Report struct {
	At     time.Time `json:"at"`
	Series []Series  `json:"series"`
}

func (r *Report) sort() { slices.SortFunc(r.Series, compareSeries) }

func (s Series) findWindow(length time.Duration) Window {
	for _, window := range s.Windows {
		if window.Seconds == int64(length/time.Second) {
			return window
		}
	}
	return Window{}
}

func (s Series) alert(rules []Rule) Severity {
	for _, rule := range rules {
		if s.findWindow(rule.ShortWindow).BurnRate >= rule.MinBurnRate && s.findWindow(rule.LongWindow).BurnRate >= rule.MinBurnRate {
			return rule.Severity
		}
	}
	return SeverityNone
}

// Merge adds the counts of the reports of several entries, each of which counts
// only its own requests. rules nil means DefaultRules.
func Merge(rules []Rule, reports ...Report) Report {
	if rules == nil {
		rules = DefaultRules
	}
	var merged Report
	index := make(map[seriesKey]int)
	for _, report := range reports {
		if report.At.After(merged.At) {
			merged.At = report.At
		}
		for _, s := range report.Series {
			merged.add(index, s)
		}
	}
	for i := range merged.Series {
		merged.Series[i].Alert = merged.Series[i].alert(rules)
	}
	merged.sort()
	return merged
}

func (r *Report) add(index map[seriesKey]int, s Series) {
	key := seriesKey{s.Route, s.Team}
	at, found := index[key]
	if !found {
		index[key] = len(r.Series)
		s.Windows = slices.Clone(s.Windows)
		r.Series = append(r.Series, s)
		return
	}
	r.Series[at].merge(s)
}

// merge adds the counts of other. If the entries have different objectives,
// because they use different revisions, the stricter one counts.
func (s *Series) merge(other Series) {
	s.ObjectiveRatio = max(s.ObjectiveRatio, other.ObjectiveRatio)
	for _, window := range other.Windows {
		s.addWindow(window)
	}
	for i, window := range s.Windows {
		s.Windows[i].BurnRate = burnRate(window.Total, window.Bad, s.ObjectiveRatio)
	}
}

func (s *Series) addWindow(window Window) {
	for i := range s.Windows {
		if s.Windows[i].Seconds == window.Seconds {
			s.Windows[i].Total += window.Total
			s.Windows[i].Bad += window.Bad
			return
		}
	}
	s.Windows = append(s.Windows, window)
}

// WriteJSON writes the report as one JSON line.
func (r Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(table, "ROUTE\tTEAM\tOBJECTIVE")
	for _, window := range r.windowLengths() {
		_, _ = fmt.Fprintf(table, "\tBURN %s", formatWindow(window))
	}
	_, _ = fmt.Fprintln(table, "\tREQUESTS\tBAD\tALERT")
	for _, s := range r.Series {
		writeTextRow(table, s)
	}
	return table.Flush()
}

func writeTextRow(w io.Writer, s Series) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s", s.Route, s.Team, s.objectiveText())
	var longest Window
	for _, window := range s.Windows {
		_, _ = fmt.Fprintf(w, "\t%.2f", window.BurnRate)
		longest = window
	}
	_, _ = fmt.Fprintf(w, "\t%d\t%d\t%s\n", longest.Total, longest.Bad, s.alertText())
}

func (s Series) objectiveText() string {
	if s.ObjectiveMillis <= 0 {
		return fmt.Sprintf("%.4g%%", 100*s.ObjectiveRatio)
	}
	return fmt.Sprintf("%.4g%% in %d ms", 100*s.ObjectiveRatio, s.ObjectiveMillis)
}

func (s Series) alertText() string {
	if s.Alert == SeverityNone {
		return "-"
	}
	return string(s.Alert)
}

// windowLengths returns the lengths of the windows, in the order of the report.
func (r Report) windowLengths() []time.Duration {
	if len(r.Series) == 0 {
		return nil
	}
	var lengths []time.Duration
	for _, window := range r.Series[0].Windows {
		lengths = append(lengths, time.Duration(window.Seconds)*time.Second)
	}
	return lengths
}

func formatWindow(d time.Duration) string {
	if d >= time.Hour && d%time.Hour == 0 {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}
