package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"currantusher.dev/api/oas"
)

// tableKind is one of the configuration tables in the operators' tool.
type tableKind struct {
	name   string
	usage  string
	rows   func(*oas.Tables) []namedRow
	set    func(edit *oas.Edit, encoded []byte) error
	delete func(edit *oas.Edit, name string)
}

type namedRow struct {
	name string
	row  any
}

var routeTable = tableKind{
	name:  "route",
	usage: "Reads and edits the route table.",
	rows: func(t *oas.Tables) []namedRow {
		return named(t.Routes, func(r oas.RouteRow) string { return r.Name })
	},
	set: func(edit *oas.Edit, encoded []byte) error {
		return appendRow(&edit.SetRoutes, encoded)
	},
	delete: func(edit *oas.Edit, name string) { edit.DeleteRoutes = append(edit.DeleteRoutes, name) },
}

var poolTable = tableKind{
	name:  "pool",
	usage: "Reads and edits the pool table.",
	rows: func(t *oas.Tables) []namedRow {
		return named(t.Pools, func(p oas.Pool) string { return p.Name })
	},
	set: func(edit *oas.Edit, encoded []byte) error {
		return appendRow(&edit.SetPools, encoded)
	},
	delete: func(edit *oas.Edit, name string) { edit.DeletePools = append(edit.DeletePools, name) },
}

var dataCentreTable = tableKind{
	name:  "data-centre",
	usage: "Reads and edits the data-centre table; takes data centres out and in.",
	rows: func(t *oas.Tables) []namedRow {
		return named(t.DataCentres, func(d oas.DataCentre) string { return d.Name })
	},
	set: func(edit *oas.Edit, encoded []byte) error {
		return appendRow(&edit.SetDataCentres, encoded)
	},
	delete: func(edit *oas.Edit, name string) { edit.DeleteDataCentres = append(edit.DeleteDataCentres, name) },
}

var teamTable = tableKind{
	name:  "team",
	usage: "Reads and edits the team table.",
	rows: func(t *oas.Tables) []namedRow {
		return named(t.Teams, func(r oas.Team) string { return r.Name })
	},
	set: func(edit *oas.Edit, encoded []byte) error {
		return appendRow(&edit.SetTeams, encoded)
	},
	delete: func(edit *oas.Edit, name string) { edit.DeleteTeams = append(edit.DeleteTeams, name) },
}

func named[Row any](rows []Row, name func(Row) string) []namedRow {
	result := make([]namedRow, 0, len(rows))
	for _, row := range rows {
		result = append(result, namedRow{name: name(row), row: &row})
	}
	return result
}

type jsonRow[Row any] interface {
	*Row
	UnmarshalJSON(encoded []byte) error
}

func appendRow[Row any, P jsonRow[Row]](rows *[]Row, encoded []byte) error {
	var row Row
	if err := P(&row).UnmarshalJSON(encoded); err != nil {
		return usageError{fmt.Errorf("row: %w", err)}
	}
	*rows = append(*rows, row)
	return nil
}

func tableCommand(kind tableKind) *command {
	return &command{
		name:  kind.name,
		usage: kind.usage,
		children: []*command{
			tableGet(kind),
			tableSet(kind),
			tableDelete(kind),
		},
	}
}

func tableGet(kind tableKind) *command {
	var op operator
	var name string
	c := &command{
		name:   "get",
		usage:  "Prints one row, or all rows.",
		values: []value{{target: &name, name: "NAME", usage: "row to print"}},
	}
	op.define(&c.settings)
	c.run = func(ctx context.Context) error {
		client, err := op.client()
		if err != nil {
			return err
		}
		content, err := client.GetTables(ctx)
		if err != nil {
			return explain(err)
		}
		return printRows(kind.rows(content), name)
	}
	return c
}

func printRows(rows []namedRow, name string) error {
	found := false
	for _, row := range rows {
		if name != "" && row.name != name {
			continue
		}
		found = true
		if err := printJSON(row.row); err != nil {
			return err
		}
	}
	if name != "" && !found {
		return fmt.Errorf("no row %q", name)
	}
	return nil
}

// editFlags are the settings that all edits share.
type editFlags struct {
	ifRevision int
	dryRun     bool
	wait       string
	id         string
}

func (f *editFlags) define(c *command) {
	c.settings.Int(&f.ifRevision, "if-revision", 0, "refuse unless this is the newest revision; 0 accepts any")
	c.settings.String(&f.id, "edit-id", "", "repeats an earlier edit whose outcome is not known; empty makes a new id")
	c.settings.Bool(&f.dryRun, "dry-run", "show the difference and change nothing")
	c.settings.String(&f.wait, "wait", "", `"in-force" waits until every live daemon uses the edit`)
}

func (f *editFlags) send(ctx context.Context, op *operator, edit *oas.Edit) error {
	if f.wait != "" && f.wait != "in-force" {
		return usageError{fmt.Errorf("wait %q: want in-force", f.wait)}
	}
	if f.ifRevision != 0 {
		edit.IfRevision = oas.NewOptInt64(int64(f.ifRevision))
	}
	edit.EditID = f.id
	edit.DryRun = oas.NewOptBool(f.dryRun)
	result, err := op.edit(ctx, edit)
	if err != nil {
		return err
	}
	if err := op.printEdit(result, f.dryRun); err != nil {
		return err
	}
	if f.wait == "" || f.dryRun {
		return nil
	}
	return op.waitInForce(ctx, result.Revision)
}

func tableSet(kind tableKind) *command {
	var op operator
	var flags editFlags
	var row string
	c := &command{
		name:   "set",
		usage:  "Writes one row given as JSON, or @FILE.",
		values: []value{{target: &row, name: "ROW", usage: "JSON object, or @FILE", required: true}},
	}
	op.define(&c.settings)
	flags.define(c)
	c.run = func(ctx context.Context) error {
		encoded, err := rowArgument(row)
		if err != nil {
			return err
		}
		edit := &oas.Edit{}
		if err := kind.set(edit, encoded); err != nil {
			return err
		}
		return flags.send(ctx, &op, edit)
	}
	return c
}

func rowArgument(text string) ([]byte, error) {
	file, ok := strings.CutPrefix(text, "@")
	if !ok {
		return []byte(text), nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, usageError{err}
	}
	return content, nil
}

func tableDelete(kind tableKind) *command {
	var op operator
	var flags editFlags
	var name string
	c := &command{
		name:   "delete",
		usage:  "Deletes one row.",
		values: []value{{target: &name, name: "NAME", usage: "row to delete", required: true}},
	}
	op.define(&c.settings)
	flags.define(c)
	c.run = func(ctx context.Context) error {
		edit := &oas.Edit{}
		kind.delete(edit, name)
		return flags.send(ctx, &op, edit)
	}
	return c
}

func dataCentreCommand() *command {
	c := tableCommand(dataCentreTable)
	c.children = append(c.children,
		dataCentreState("out", "Takes a data centre out: it starts no new work.", oas.DataCentreStateOut),
		dataCentreState("in", "Brings a data centre back.", oas.DataCentreStateIn),
	)
	return c
}

func dataCentreState(name, usage string, state oas.DataCentreState) *command {
	var op operator
	var flags editFlags
	var dataCentre string
	c := &command{
		name:   name,
		usage:  usage,
		values: []value{{target: &dataCentre, name: "NAME", usage: "data centre", required: true}},
	}
	op.define(&c.settings)
	flags.define(c)
	c.run = func(ctx context.Context) error {
		edit, err := dataCentreEdit(ctx, &op, dataCentre, state)
		if err != nil {
			return err
		}
		return flags.send(ctx, &op, edit)
	}
	return c
}

func dataCentreEdit(ctx context.Context, op *operator, name string, state oas.DataCentreState) (*oas.Edit, error) {
	client, err := op.client()
	if err != nil {
		return nil, err
	}
	content, err := client.GetTables(ctx)
	if err != nil {
		return nil, explain(err)
	}
	for _, row := range content.DataCentres {
		if row.Name != name {
			continue
		}
		row.State = state
		return &oas.Edit{SetDataCentres: []oas.DataCentre{row}}, nil
	}
	return nil, fmt.Errorf("no data centre %q", name)
}
