package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"currantusher.dev/core/fleet"
	"currantusher.dev/daemon/quarantinerows"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/requests/quarantine"
)

const quarantineStoreUsage = "address of the operators' platform store"

func quarantineCommand() *command {
	return &command{
		name:     "quarantine",
		usage:    "Shows and lifts the quarantines of requests and prompt parts that crash servers.",
		children: []*command{quarantineListCommand(), quarantineLiftCommand()},
	}
}

func quarantineListCommand() *command {
	var store string
	c := &command{name: "list", usage: "Prints the stored quarantines with the time that is left."}
	c.settings.String(&store, "store", "", quarantineStoreUsage)
	c.run = func(ctx context.Context) error {
		client, err := quarantineStore(store)
		if err != nil {
			return err
		}
		stored, err := quarantinerows.Read(ctx, client)
		if err != nil {
			return fmt.Errorf("store %s: %w", store, err)
		}
		return writeQuarantines(os.Stdout, stored)
	}
	return c
}

func quarantineLiftCommand() *command {
	var store, id string
	c := &command{
		name:        "lift",
		usage:       "Lifts the quarantine of a request or prompt part: entries serve it again within seconds.",
		positionals: []positional{{target: &id, name: "ID", usage: "fingerprint of the request, or identifier of the part", required: true}},
	}
	c.settings.String(&store, "store", "", quarantineStoreUsage)
	c.run = func(ctx context.Context) error {
		client, err := quarantineStore(store)
		if err != nil {
			return err
		}
		lifted, err := quarantinerows.Lift(ctx, client, id)
		if err != nil {
			return fmt.Errorf("store %s: %w", store, err)
		}
		for _, r := range lifted {
			fmt.Printf("lifted: %s %s, quarantine %d\n", quarantineKind(r.Trait), r.Trait.ID, r.Generation)
		}
		return nil
	}
	return c
}

func quarantineStore(addr string) (*rowstore.Client, error) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return nil, usageError{fmt.Errorf("store %q: %w", addr, err)}
	}
	return rowstore.New(addr), nil
}

func writeQuarantines(w io.Writer, stored quarantinerows.Stored) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "KIND\tID\tSTATE\tLEFT\tCRASHES\tTIMES\tONLY WITH")
	for _, r := range stored.Records {
		left := "-"
		if d := r.Left(stored.StoreMs); d > 0 {
			left = d.Round(time.Second).String()
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n",
			quarantineKind(r.Trait), r.Trait.ID, quarantineState(r, stored.StoreMs), left, r.Crashes, r.Generation, traitList(r.With))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, key := range stored.Invalid {
		if _, err := fmt.Fprintln(w, "row ignored:", key); err != nil {
			return err
		}
	}
	return nil
}

func quarantineKind(t fleet.Trait) string {
	if t.IsRequest() {
		return "request"
	}
	return "part of " + string(t.Model)
}

func quarantineState(r quarantine.Record, storeMs int64) string {
	switch {
	case r.Lifted:
		return "lifted"
	case r.Released:
		return "released"
	case r.IsActive(storeMs):
		return "refused"
	default:
		return "ended"
	}
}

func traitList(traits []fleet.Trait) string {
	if len(traits) == 0 {
		return "-"
	}
	var ids []string
	for _, t := range traits {
		ids = append(ids, t.ID)
	}
	return strings.Join(ids, " ")
}
