package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"currantusher.dev/api/oas"
	"currantusher.dev/core"
	"currantusher.dev/report"
)

func reportCommand() *command {
	return &command{
		name:     "report",
		usage:    "Prints reports.",
		children: []*command{reportBurn()},
	}
}

func reportBurn() *command {
	var op operator
	var entries, format, out string
	c := &command{name: "burn", usage: "Service-level burn of each route and team, added over the entries asked."}
	op.define(&c.settings)
	c.settings.String(&entries, "entries", "", "comma-separated URLs of entries; empty asks --entry for all")
	c.settings.String(&format, "format", "text", "text, json or html")
	c.settings.String(&out, "out", "", "file to write; empty means standard output")
	c.run = func(ctx context.Context) error {
		if op.json {
			format = "json"
		}
		write, err := burnWriter(format)
		if err != nil {
			return usageError{err}
		}
		urls, err := burnEntries(ctx, &op, entries)
		if err != nil {
			return err
		}
		merged, err := collectBurn(ctx, op, urls)
		if err != nil {
			return err
		}
		return writeOut(out, func(w io.Writer) error { return write(merged, w) })
	}
	return c
}

func burnWriter(format string) (func(report.Report, io.Writer) error, error) {
	switch format {
	case "text":
		return report.Report.WriteText, nil
	case "json":
		return report.Report.WriteJSON, nil
	case "html":
		return report.Report.WriteHTML, nil
	default:
		return nil, fmt.Errorf("format %q: want text, json or html", format)
	}
}

func burnEntries(ctx context.Context, op *operator, entries string) ([]string, error) {
	if entries != "" {
		return strings.Split(entries, ","), nil
	}
	client, err := op.client()
	if err != nil {
		return nil, err
	}
	list, err := client.ListEntries(ctx, oas.ListEntriesParams{})
	if err != nil {
		return nil, explain(err)
	}
	urls := make([]string, 0, len(list.Entries))
	for _, entry := range list.Entries {
		urls = append(urls, entry.Address)
	}
	return urls, nil
}

// collectBurn adds the reports of all entries. An entry that does not answer is
// named on standard error and left out.
func collectBurn(ctx context.Context, op operator, urls []string) (report.Report, error) {
	var reports []report.Report
	var last error
	for _, url := range urls {
		op.entry = url
		one, err := fetchBurn(ctx, &op)
		if err != nil {
			fmt.Fprintf(os.Stderr, "currantusher: %s left out: %v\n", url, err)
			last = err
			continue
		}
		reports = append(reports, one)
	}
	if len(reports) == 0 {
		return report.Report{}, fmt.Errorf("no entry answered: %w", last)
	}
	return report.Merge(nil, reports...), nil
}

func fetchBurn(ctx context.Context, op *operator) (report.Report, error) {
	client, err := op.client()
	if err != nil {
		return report.Report{}, err
	}
	answer, err := client.GetBurn(ctx)
	if err != nil {
		return report.Report{}, explain(err)
	}
	result := report.Report{At: time.Now()}
	for _, series := range answer.Series {
		result.Series = append(result.Series, burnSeries(series))
	}
	return result, nil
}

func burnSeries(series oas.BurnSeries) report.Series {
	result := report.Series{
		Route:           core.RouteName(series.Route),
		Team:            core.Team(series.Team),
		ObjectiveMillis: series.ObjectiveMillis.Or(0),
		ObjectiveRatio:  series.ObjectiveRatio,
		Alert:           report.Severity(series.Alert.Or("")),
	}
	for _, window := range series.Windows {
		result.Windows = append(result.Windows, report.Window{
			Seconds:  window.WindowSeconds,
			Total:    window.Total,
			Bad:      window.Bad,
			BurnRate: window.BurnRate,
		})
	}
	return result
}

func writeOut(name string, write func(io.Writer) error) error {
	if name == "" {
		return write(os.Stdout)
	}
	file, err := os.Create(name)
	if err != nil {
		return usageError{err}
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
