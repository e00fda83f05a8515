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
		children: []*command{reportBurnCommand()},
	}
}

func reportBurnCommand() *command {
	var op operatorClient
	var entries, format, out string
	c := &command{name: "burn", usage: "Prints the error budget burn rate of each route and team, summed over the entries."}
	op.registerFlags(&c.settings)
	c.settings.String(&entries, "entries", "", "comma-separated URLs of entries; empty means all entries that --entry lists")
	c.settings.String(&format, "format", "text", "output format: text, json or html")
	c.settings.String(&out, "out", "", "output file; empty means standard output")
	c.run = func(ctx context.Context) error {
		if op.json {
			format = "json"
		}
		write, err := burnWriter(format)
		if err != nil {
			return usageError{err}
		}
		urls, err := burnEntryURLs(ctx, &op, entries)
		if err != nil {
			return err
		}
		merged, err := collectBurn(ctx, op, urls)
		if err != nil {
			return err
		}
		return writeOutput(out, func(w io.Writer) error { return write(merged, w) })
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

func burnEntryURLs(ctx context.Context, op *operatorClient, entries string) ([]string, error) {
	if entries != "" {
		return strings.Split(entries, ","), nil
	}
	client, err := op.apiClient()
	if err != nil {
		return nil, err
	}
	list, err := client.ListEntries(ctx, oas.ListEntriesParams{})
	if err != nil {
		return nil, problemToError(err)
	}
	urls := make([]string, 0, len(list.Entries))
	for _, entry := range list.Entries {
		urls = append(urls, entry.Address)
	}
	return urls, nil
}

// collectBurn merges the reports of all entries. An entry that cannot be queried
// is reported on standard error and skipped. It returns an error only if all
// entries fail.
func collectBurn(ctx context.Context, op operatorClient, urls []string) (report.Report, error) {
	var reports []report.Report
	var lastErr error
	for _, url := range urls {
		op.entry = url
		entryReport, err := fetchBurn(ctx, &op)
		if err != nil {
			fmt.Fprintf(os.Stderr, "currantusher: entry %s is not in the report: %v\n", url, err)
			lastErr = err
			continue
		}
		reports = append(reports, entryReport)
	}
	if len(reports) == 0 {
		return report.Report{}, fmt.Errorf("no entry returned a report; last error: %w", lastErr)
	}
	return report.Merge(nil, reports...), nil
}

func fetchBurn(ctx context.Context, op *operatorClient) (report.Report, error) {
	client, err := op.apiClient()
	if err != nil {
		return report.Report{}, err
	}
	response, err := client.GetBurn(ctx)
	if err != nil {
		return report.Report{}, problemToError(err)
	}
	result := report.Report{At: time.Now()}
	for _, series := range response.Series {
		result.Series = append(result.Series, seriesFromAPI(series))
	}
	return result, nil
}

func seriesFromAPI(series oas.BurnSeries) report.Series {
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

func writeOutput(name string, write func(io.Writer) error) error {
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
