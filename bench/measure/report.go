package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"currantusher.dev/bench/load"
)

// Report holds the figures of one run. Its copies are multiples of the size of a
// version.
type Report struct {
	Replicas              int     `json:"replicas"`
	TimeToReplicasSeconds float64 `json:"time_to_replicas_seconds"`
	LowerBoundSeconds     float64 `json:"lower_bound_seconds"`
	// OriginCopies is the number of bytes sent by the origin and the weight store
	// for one version, divided by the size of the version.
	OriginCopies float64 `json:"origin_copies"`
	// MaxInstanceLinkCopies is the highest sum of bytes received and sent by one
	// instance for one version, divided by the size of the version. The received
	// and sent parts below are those of the same instance.
	MaxInstanceLinkCopies         float64 `json:"max_machine_link_copies"`
	MaxInstanceLinkReceivedCopies float64 `json:"max_machine_link_received_copies"`
	MaxInstanceLinkSentCopies     float64 `json:"max_machine_link_sent_copies"`

	RequestsTotal         int `json:"requests_total"`
	RequestsWhole         int `json:"requests_whole"`
	RequestsRefusedNotRun int `json:"requests_refused_not_run"`
	RequestsUnknown       int `json:"requests_unknown"`
	RequestsLost          int `json:"requests_lost"`
	RequestsWrong         int `json:"requests_wrong"`
	FalseRefusals         int `json:"false_refusals"`
	UncheckedRefusals     int `json:"unchecked_refusals"`
	AttemptsCut           int `json:"attempts_cut"`

	AtMostOnceMaxRuns        int      `json:"at_most_once_max_runs"`
	StartsAfterDataCentreOut int      `json:"starts_after_data_centre_out"`
	LastStartAfterOutSeconds float64  `json:"last_start_after_out_seconds"`
	SecondsUntilInForceMax   float64  `json:"seconds_until_in_force_max"`
	Reverts                  int      `json:"reverts"`
	PartialWeightRuns        int      `json:"partial_weight_runs"`
	OverloadRestarts         int      `json:"engines_fallen_over"`
	UnreachableStandIns      int      `json:"unread_stand_ins"`
	TTFTP95Seconds           float64  `json:"ttft_p95_seconds"`
	LongestGapSeconds        float64  `json:"longest_gap_seconds"`
	MinWholeRatioDuringOut   float64  `json:"min_whole_ratio_during_out"`
	InvariantViolations      int      `json:"invariant_violations"`
	Seed                     int64    `json:"seed"`
	ElapsedSeconds           float64  `json:"elapsed_seconds"`
	Examples                 []string `json:"examples,omitempty"`
}

// AddLoadResult sets the figures that the callers measured.
func (r *Report) AddLoadResult(result load.Result) {
	r.RequestsTotal = result.Total
	r.RequestsWhole = result.Whole
	r.RequestsRefusedNotRun = result.Refused
	r.RequestsUnknown = result.Unknown
	r.RequestsLost = result.Lost
	r.RequestsWrong = result.Wrong
	r.FalseRefusals = result.FalseRefusals
	r.UncheckedRefusals = result.UncheckedRefusals
	r.AttemptsCut = result.CutAttempts
	r.TTFTP95Seconds = result.FirstByteP95().Seconds()
	r.LongestGapSeconds = result.LongestGap().Seconds()
	r.Examples = append(r.Examples, result.Examples...)
}

// AddBackendTotals sets the figures that the stand-ins counted.
func (r *Report) AddBackendTotals(totals Totals) {
	r.AtMostOnceMaxRuns = totals.MaxRuns
	r.StartsAfterDataCentreOut = totals.StartsAfterOut
	r.LastStartAfterOutSeconds = totals.LastStartAfterOutSeconds
	r.PartialWeightRuns = totals.PartialWeights
	r.OverloadRestarts = totals.OverloadRestarts
	r.UnreachableStandIns = totals.Unreachable
}

// RecordInForceTime records the time until one edit was in force; the report
// keeps the longest.
func (r *Report) RecordInForceTime(elapsed time.Duration) {
	r.SecondsUntilInForceMax = max(r.SecondsUntilInForceMax, elapsed.Seconds())
}

// Violations returns a line for each guarantee that the run violated.
func (r *Report) Violations() []string {
	var violations []string
	add := func(count int, description string) {
		if count > 0 {
			violations = append(violations, fmt.Sprintf("%s: %d", description, count))
		}
	}
	add(r.RequestsLost, "requests lost")
	add(r.FalseRefusals, "requests refused as not run that ran")
	add(max(0, r.AtMostOnceMaxRuns-1), "repeated runs of an at-most-once request")
	add(r.StartsAfterDataCentreOut, "starts in a data centre that is out")
	add(r.PartialWeightRuns, "runs on partial weights")
	add(r.OverloadRestarts, "restarts of backend servers overloaded during a cold start")
	add(r.Reverts, "reverts of the configuration")
	add(r.InvariantViolations, "invariant violations")
	return violations
}

// WriteJSON writes the report as one line.
func (r *Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// WriteText writes the report as a plain-text table, followed by the violations.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range r.textRows() {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", row[0], row[1])
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, violation := range r.Violations() {
		if _, err := fmt.Fprintln(w, "BROKEN", violation); err != nil {
			return err
		}
	}
	return nil
}

func (r *Report) textRows() [][2]string {
	return [][2]string{
		{"time to replicas", fmt.Sprintf("%d in %.1f s (lower bound %.1f s)", r.Replicas, r.TimeToReplicasSeconds, r.LowerBoundSeconds)},
		{"bytes from the origin", fmt.Sprintf("%.2f copies", r.OriginCopies)},
		{"busiest instance link", fmt.Sprintf("%.2f copies (%.2f received, %.2f sent)", r.MaxInstanceLinkCopies, r.MaxInstanceLinkReceivedCopies, r.MaxInstanceLinkSentCopies)},
		{"requests", fmt.Sprintf("%d: %d whole, %d refused not run, %d unknown, %d lost", r.RequestsTotal, r.RequestsWhole, r.RequestsRefusedNotRun, r.RequestsUnknown, r.RequestsLost)},
		{"service while a data centre was out", fmt.Sprintf("%.1f%% whole in the worst second, longest gap %.2f s", 100*r.MinWholeRatioDuringOut, r.LongestGapSeconds)},
		{"data centre out", fmt.Sprintf("last start after %.2f s, %d too late", r.LastStartAfterOutSeconds, r.StartsAfterDataCentreOut)},
		{"at-most-once", fmt.Sprintf("at most %d runs", r.AtMostOnceMaxRuns)},
		{"edits in force", fmt.Sprintf("within %.2f s", r.SecondsUntilInForceMax)},
		{"first byte p95", fmt.Sprintf("%.3f s", r.TTFTP95Seconds)},
		{"invariant violations", fmt.Sprint(r.InvariantViolations)},
		{"seed", fmt.Sprint(r.Seed)},
	}
}
