package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"currantusher.dev/api/oas"
)

// tableKind defines the commands of one configuration table.
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
		return namedRows(t.Routes, func(r oas.RouteRow) string { return r.Name })
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
		return namedRows(t.Pools, func(p oas.Pool) string { return p.Name })
	},
	set: func(edit *oas.Edit, encoded []byte) error {
		return appendRow(&edit.SetPools, encoded)
	},
	delete: func(edit *oas.Edit, name string) { edit.DeletePools = append(edit.DeletePools, name) },
}

var dataCentreTable = tableKind{
	name:  "data-centre",
	usage: "Reads and edits the data centre table; takes data centres out and in.",
	rows: func(t *oas.Tables) []namedRow {
		return namedRows(t.DataCentres, func(d oas.DataCentre) string { return d.Name })
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
		return namedRows(t.Teams, func(r oas.Team) string { return r.Name })
	},
	set: func(edit *oas.Edit, encoded []byte) error {
		return appendRow(&edit.SetTeams, encoded)
	},
	delete: func(edit *oas.Edit, name string) { edit.DeleteTeams = append(edit.DeleteTeams, name) },
}

func namedRows[Row any](rows []Row, name func(Row) string) []namedRow {
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
			tableGetCommand(kind),
			tableSetCommand(kind),
			tableDeleteCommand(kind),
		},
	}
}

func tableGetCommand(kind tableKind) *command {
	var op operatorClient
	var name string
	c := &command{
		name:        "get",
		usage:       "Prints one row, or all rows.",
		positionals: []positional{{target: &name, name: "NAME", usage: "row to print"}},
	}
	op.registerFlags(&c.settings)
	c.run = func(ctx context.Context) error {
		client, err := op.apiClient()
		if err != nil {
			return err
		}
		content, err := client.GetTables(ctx)
		if err != nil {
			return problemToError(err)
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

// editFlags are the settings of all commands that send an edit.
type editFlags struct {
	ifRevision int
	dryRun     bool
	wait       string
	id         string
}

func (f *editFlags) registerFlags(c *command) {
	c.settings.Int(&f.ifRevision, "if-revision", 0, "refuse the edit unless this is the newest revision; 0 accepts any")
	c.settings.String(&f.id, "edit-id", "", "ID of an earlier edit with an unknown outcome to repeat; empty creates a new ID")
	c.settings.Bool(&f.dryRun, "dry-run", "print the changes without applying them")
	c.settings.String(&f.wait, "wait", "", `"in-force" waits until every live daemon has acknowledged the edit`)
}

func (f *editFlags) send(ctx context.Context, op *operatorClient, edit *oas.Edit) error {
	if f.wait != "" && f.wait != "in-force" {
		return usageError{fmt.Errorf("wait %q: want \"in-force\" or empty", f.wait)}
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

func tableSetCommand(kind tableKind) *command {
	var op operatorClient
	var flags editFlags
	var row string
	c := &command{
		name:        "set",
		usage:       "Writes one row given as JSON, or @FILE.",
		positionals: []positional{{target: &row, name: "ROW", usage: "JSON object, or @FILE", required: true}},
	}
	op.registerFlags(&c.settings)
	flags.registerFlags(c)
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

// rowArgument returns the content of the file in an argument @FILE, or the
// argument itself.
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

func tableDeleteCommand(kind tableKind) *command {
	var op operatorClient
	var flags editFlags
	var name string
	c := &command{
		name:        "delete",
		usage:       "Deletes one row.",
		positionals: []positional{{target: &name, name: "NAME", usage: "row to delete", required: true}},
	}
	op.registerFlags(&c.settings)
	flags.registerFlags(c)
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
		dataCentreStateCommand("out", "Takes a data centre out: it starts no new work.", oas.DataCentreStateOut),
		dataCentreStateCommand("in", "Brings a data centre back.", oas.DataCentreStateIn),
	)
	return c
}

func dataCentreStateCommand(name, usage string, state oas.DataCentreState) *command {
	var op operatorClient
	var flags editFlags
	var dataCentre string
	c := &command{
		name:        name,
		usage:       usage,
		positionals: []positional{{target: &dataCentre, name: "NAME", usage: "data centre", required: true}},
	}
	op.registerFlags(&c.settings)
	flags.registerFlags(c)
	c.run = func(ctx context.Context) error {
		edit, err := dataCentreEdit(ctx, &op, dataCentre, state)
		if err != nil {
			return err
		}
		return flags.send(ctx, &op, edit)
	}
	return c
}

func dataCentreEdit(ctx context.Context, op *operatorClient, name string, state oas.DataCentreState) (*oas.Edit, error) {
	client, err := op.apiClient()
	if err != nil {
		return nil, err
	}
	content, err := client.GetTables(ctx)
	if err != nil {
		return nil, problemToError(err)
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
