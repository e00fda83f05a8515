package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"currantusher.dev/bench/load"
)

// Report holds the users' measures of one run.
type Report struct {
	Replicas              int     `json:"replicas"`
	TimeToReplicasSeconds float64 `json:"time_to_replicas_seconds"`
	LowerBoundSeconds     float64 `json:"lower_bound_seconds"`
	// OriginCopies is the origin's sent bytes over the size of the versions.
	OriginCopies float64 `json:"origin_copies"`
	// MaxMachineLinkCopies is the highest sum of received and sent bytes of one
	// machine over the size of the versions; the two parts are of that machine.
	MaxMachineLinkCopies         float64 `json:"max_machine_link_copies"`
	MaxMachineLinkReceivedCopies float64 `json:"max_machine_link_received_copies"`
	MaxMachineLinkSentCopies     float64 `json:"max_machine_link_sent_copies"`

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
	EnginesFallenOver        int      `json:"engines_fallen_over"`
	UnreadStandIns           int      `json:"unread_stand_ins"`
	TTFTP95Seconds           float64  `json:"ttft_p95_seconds"`
	LongestGapSeconds        float64  `json:"longest_gap_seconds"`
	MinWholeRatioDuringOut   float64  `json:"min_whole_ratio_during_out"`
	InvariantViolations      int      `json:"invariant_violations"`
	Seed                     int64    `json:"seed"`
	ElapsedSeconds           float64  `json:"elapsed_seconds"`
	ExamplesOfBrokenPromises []string `json:"examples,omitempty"`
}

// AddLoad fills in what the callers saw.
func (r *Report) AddLoad(result load.Result) {
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
	r.ExamplesOfBrokenPromises = append(r.ExamplesOfBrokenPromises, result.Examples...)
}

// AddTotals fills in what the stand-ins counted.
func (r *Report) AddTotals(totals Totals) {
	r.AtMostOnceMaxRuns = totals.MaxRuns
	r.StartsAfterDataCentreOut = totals.StartsAfterOut
	r.LastStartAfterOutSeconds = totals.LastStartAfterOutSeconds
	r.PartialWeightRuns = totals.PartialWeights
	r.EnginesFallenOver = totals.FellOver
	r.UnreadStandIns = totals.Unread
}

// AddInForce notes the time until one edit was in force.
func (r *Report) AddInForce(took time.Duration) {
	r.SecondsUntilInForceMax = max(r.SecondsUntilInForceMax, took.Seconds())
}

// Broken returns a line for each broken promise.
func (r *Report) Broken() []string {
	var broken []string
	note := func(count int, what string) {
		if count > 0 {
			broken = append(broken, fmt.Sprintf("%s: %d", what, count))
		}
	}
	note(r.RequestsLost, "requests lost")
	note(r.FalseRefusals, "requests refused as not run that ran")
	note(max(0, r.AtMostOnceMaxRuns-1), "repeated runs of an at-most-once request")
	note(r.StartsAfterDataCentreOut, "starts in a data centre that is out")
	note(r.PartialWeightRuns, "runs on partial weights")
	note(r.EnginesFallenOver, "engines fallen over in cold start")
	note(r.Reverts, "reverts of the configuration")
	note(r.InvariantViolations, "invariant violations")
	return broken
}

// WriteJSON writes the report as one line.
func (r *Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// WriteText writes the report for people.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, line := range r.lines() {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", line[0], line[1])
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, line := range r.Broken() {
		if _, err := fmt.Fprintln(w, "BROKEN", line); err != nil {
			return err
		}
	}
	return nil
}

func (r *Report) lines() [][2]string {
	return [][2]string{
		{"time to replicas", fmt.Sprintf("%d in %.1f s (lower bound %.1f s)", r.Replicas, r.TimeToReplicasSeconds, r.LowerBoundSeconds)},
		{"bytes from the origin", fmt.Sprintf("%.2f copies", r.OriginCopies)},
		{"busiest machine link", fmt.Sprintf("%.2f copies (%.2f received, %.2f sent)", r.MaxMachineLinkCopies, r.MaxMachineLinkReceivedCopies, r.MaxMachineLinkSentCopies)},
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
