package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/go-faster/jx"
	"gopkg.in/yaml.v3"

	"currantusher.dev/api/oas"
)

// maxApplyFiles is the number of positional arguments of the apply command.
const maxApplyFiles = 8

// applyFile is the format of the files of the apply command: rows of each table
// to write, and names of rows to delete. YAML and JSON are accepted.
type applyFile struct {
	Routes      []any       `yaml:"routes"`
	Pools       []any       `yaml:"pools"`
	DataCentres []any       `yaml:"data_centres"`
	Teams       []any       `yaml:"teams"`
	Delete      applyDelete `yaml:"delete"`
}

type applyDelete struct {
	Routes      []string `yaml:"routes"`
	Pools       []string `yaml:"pools"`
	DataCentres []string `yaml:"data_centres"`
	Teams       []string `yaml:"teams"`
}

func applyCommand() *command {
	var op operatorClient
	var flags editFlags
	files := make([]string, maxApplyFiles)
	c := &command{name: "apply", usage: "Applies the rows of the given files in one edit."}
	for i := range files {
		c.positionals = append(c.positionals, positional{target: &files[i], name: fmt.Sprintf("FILE%d", i+1), usage: "YAML or JSON file", required: i == 0})
	}
	op.registerFlags(&c.settings)
	flags.registerFlags(c)
	c.run = func(ctx context.Context) error {
		edit, err := readEdit(files)
		if err != nil {
			return usageError{err}
		}
		return flags.send(ctx, &op, edit)
	}
	return c
}

func readEdit(files []string) (*oas.Edit, error) {
	edit := &oas.Edit{}
	for _, file := range files {
		if file == "" {
			continue
		}
		if err := addFile(edit, file); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
	}
	return edit, nil
}

func addFile(edit *oas.Edit, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	var content applyFile
	decoder := yaml.NewDecoder(file)
	decoder.KnownFields(true)
	if err := decoder.Decode(&content); err != nil {
		return err
	}
	edit.DeleteRoutes = append(edit.DeleteRoutes, content.Delete.Routes...)
	edit.DeletePools = append(edit.DeletePools, content.Delete.Pools...)
	edit.DeleteDataCentres = append(edit.DeleteDataCentres, content.Delete.DataCentres...)
	edit.DeleteTeams = append(edit.DeleteTeams, content.Delete.Teams...)
	if err := addRows(&edit.SetRoutes, "routes", content.Routes); err != nil {
		return err
	}
	if err := addRows(&edit.SetPools, "pools", content.Pools); err != nil {
		return err
	}
	if err := addRows(&edit.SetDataCentres, "data_centres", content.DataCentres); err != nil {
		return err
	}
	return addRows(&edit.SetTeams, "teams", content.Teams)
}

type jsonDecoder[Row any] interface {
	*Row
	Decode(d *jx.Decoder) error
}

func addRows[Row any, P jsonDecoder[Row]](target *[]Row, table string, rows []any) error {
	for i, row := range rows {
		encoded, err := json.Marshal(row)
		if err != nil {
			return fmt.Errorf("%s[%d]: %w", table, i, err)
		}
		var decoded Row
		if err := P(&decoded).Decode(jx.DecodeBytes(encoded)); err != nil {
			return fmt.Errorf("%s[%d]: %w", table, i, err)
		}
		*target = append(*target, decoded)
	}
	return nil
}
