package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"currantusher.dev/api/oas"
)

const (
	shownDigestLength = 12
	millisPerSecond   = 1000
)

func statusCommand() *command {
	var op operatorClient
	var store string
	c := &command{name: "status", usage: "Prints the daemons with their state, revision and weights, and which daemons lag behind."}
	op.registerFlags(&c.settings)
	c.settings.String(&store, "store", "", storeUsage)
	c.run = func(ctx context.Context) error {
		if store != "" {
			return printStoreStatus(ctx, store)
		}
		client, err := op.apiClient()
		if err != nil {
			return err
		}
		status, err := client.GetStatus(ctx)
		if err != nil {
			return problemToError(err)
		}
		if op.json {
			return printJSON(status)
		}
		return printStatus(status)
	}
	return c
}

func printStatus(status *oas.Status) error {
	fmt.Printf("revision %d, %d daemons, %d invariant violations\n", status.Revision, len(status.Daemons), status.Violations)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "INSTANCE\tROLE\tDATA CENTRE\tSTATE\tREVISION\tWEIGHTS\tCHUNKS\tLOAD\tTEMPERATURE\tCONFIG AGE")
	var behind []string
	for _, d := range status.Daemons {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%d/%d\t%d/%d\t%s\t%.1fs\n", d.Instance, d.Role, d.DataCentre, d.State, d.Revision,
			shortDigest(d.Weights.Or("")), d.ChunksDone.Or(0), d.ChunksTotal.Or(0), d.Running.Or(0), d.Limit.Or(0), d.Temperature.Or("-"), float64(d.ConfigAgeMillis.Or(0))/millisPerSecond)
		if d.Revision < status.Revision {
			behind = append(behind, d.Instance)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, fault := range status.RowFaults {
		fmt.Printf("not in force: %s %s: %d %s\n", fault.Table, fault.Key, fault.Code, fault.Detail)
	}
	if len(behind) > 0 {
		fmt.Println("behind:", strings.Join(behind, ", "))
	}
	return nil
}

func shortDigest(digest string) string {
	if digest == "" {
		return "-"
	}
	return digest[:min(shownDigestLength, len(digest))]
}

func historyCommand() *command {
	var op operatorClient
	var limit, rollback int
	var flags editFlags
	c := &command{name: "history", usage: "Prints accepted revisions, or restores an earlier one as a new revision."}
	op.registerFlags(&c.settings)
	flags.registerFlags(c)
	c.settings.Int(&limit, "limit", 20, "number of revisions to print")
	c.settings.Int(&rollback, "rollback-to", 0, "revision whose rows to restore; 0 only prints the history")
	c.run = func(ctx context.Context) error {
		if rollback != 0 {
			return flags.send(ctx, &op, &oas.Edit{RollbackTo: oas.NewOptInt64(int64(rollback))})
		}
		return printHistory(ctx, &op, limit)
	}
	return c
}

func printHistory(ctx context.Context, op *operatorClient, limit int) error {
	client, err := op.apiClient()
	if err != nil {
		return err
	}
	records, err := client.ListRevisions(ctx, oas.ListRevisionsParams{Limit: oas.NewOptInt(limit)})
	if err != nil {
		return problemToError(err)
	}
	if op.json {
		return printJSON(records)
	}
	for _, record := range records {
		fmt.Printf("%d\t%s\t%s\t%s\n", record.Revision, record.Author.Or("-"), record.EditID, strings.Join(record.Changes, "; "))
	}
	return nil
}

func diffCommand() *command {
	var op operatorClient
	var from, to int
	c := &command{name: "diff", usage: "Prints the changes between two accepted revisions."}
	op.registerFlags(&c.settings)
	c.settings.Int(&from, "from", 1, "earlier revision")
	c.settings.Int(&to, "to", 0, "later revision")
	c.run = func(ctx context.Context) error {
		client, err := op.apiClient()
		if err != nil {
			return err
		}
		changes, err := client.DiffRevisions(ctx, oas.DiffRevisionsParams{From: int64(from), To: int64(to)})
		if err != nil {
			return problemToError(err)
		}
		for _, change := range changes {
			fmt.Println(change)
		}
		return nil
	}
	return c
}
