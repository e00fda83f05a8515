package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"currantusher.dev/core/fleet"
	"currantusher.dev/daemon/obs"
	"currantusher.dev/daemon/survey"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/tables/watch"
)

// storeUsage describes the flag that makes a command read the store of the
// operators' platform instead of calling an entry.
const storeUsage = "address of the operators' platform store to read instead of calling an entry; empty calls the entry"

// storeStatusNote lists what the store does not contain.
const storeStatusNote = "not in the store: requests in flight, readiness and the view of each daemon; see /metrics of each daemon and its log"

func readStore(ctx context.Context, addr string) (*survey.Survey, error) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return nil, usageError{fmt.Errorf("store %q: %w", addr, err)}
	}
	s, err := survey.Read(ctx, rowstore.New(addr), obs.DiscardLogger().Component("survey"))
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", addr, err)
	}
	return s, nil
}

func printStoreStatus(ctx context.Context, addr string) error {
	s, err := readStore(ctx, addr)
	if err != nil {
		return err
	}
	return writeStoreStatus(os.Stdout, s)
}

func writeStoreStatus(w io.Writer, s *survey.Survey) error {
	if s.View.Table == nil {
		_, _ = fmt.Fprintln(w, "no configuration")
	} else {
		c := s.View.Table.Config
		_, _ = fmt.Fprintf(w, "configuration %d at revision %d: %d routes, %d services, %d teams\n",
			c.Version, s.View.OperatorPosition.Revision, len(c.Routes), len(c.Services), len(c.Teams))
	}
	if s.View.Era > 0 {
		_, _ = fmt.Fprintf(w, "era %d of the store; each daemon's is in its gauge store_era\n", s.View.Era)
	}
	_, _ = fmt.Fprintf(w, "%d entries and %d agents have written a row\n", len(s.Entries), len(s.Agents))
	if out := dataCentresOut(s.View); len(out) > 0 {
		_, _ = fmt.Fprintln(w, "data centres out:", strings.Join(out, ", "))
	}
	for _, row := range s.Unreadable {
		_, _ = fmt.Fprintln(w, "row ignored:", row)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVER\tSERVICE\tADDRESS\tDATA CENTRE\tSTATE\tWEIGHTS")
	for _, service := range slices.Sorted(maps.Keys(s.View.Servers)) {
		for _, server := range s.View.Servers[service] {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", server.ID, service, server.Addr, server.DataCentre, serverState(server), serverWeights(server))
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, storeStatusNote)
	return err
}

func dataCentresOut(view *watch.View) []string {
	var out []string
	for dataCentre, isOut := range view.OutDataCentres {
		if isOut {
			out = append(out, string(dataCentre))
		}
	}
	slices.Sort(out)
	return out
}

func serverState(server *watch.Server) string {
	if server.Leaving {
		return "leaving"
	}
	return "ready"
}

func serverWeights(server *watch.Server) string {
	if server.Weights == nil {
		return "-"
	}
	var list []string
	for _, model := range slices.Sorted(maps.Keys(server.Weights)) {
		list = append(list, fmt.Sprintf("%s:%d", model, server.Weights[model]))
	}
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, " ")
}

func printStoreWeights(ctx context.Context, addr string) error {
	s, err := readStore(ctx, addr)
	if err != nil {
		return err
	}
	return writeStoreWeights(os.Stdout, s)
}

func writeStoreWeights(w io.Writer, s *survey.Survey) error {
	for _, r := range s.Rollouts() {
		_, _ = fmt.Fprintf(w, "model %s of %s: version %s named; %s\n", r.Model, r.Service, formatVersion(r.NewestVersion), versionCounts(r))
		for _, server := range r.Outdated {
			_, _ = fmt.Fprintf(w, "  behind: %s at %s in %s has version %s\n",
				server.ID, server.Addr, server.DataCentre, formatVersion(server.Weights[r.Model]))
		}
	}
	_, err := fmt.Fprintln(w, "not in the store: pieces in transfer; see the agents' logs, part weights")
	return err
}

// formatVersion returns "none" for version 0, which means that operators have not
// named a version yet.
func formatVersion(version fleet.WeightsVersion) string {
	if version == 0 {
		return "none"
	}
	return fmt.Sprint(version)
}

func versionCounts(r survey.Rollout) string {
	var list []string
	for _, version := range slices.Sorted(maps.Keys(r.Servers)) {
		list = append(list, fmt.Sprintf("%d servers have %s", r.Servers[version], formatVersion(version)))
	}
	if len(list) == 0 {
		return "no server"
	}
	return strings.Join(list, ", ")
}
