// Command proofpage reads the output of "go test -json" on standard input and
// writes the page of proof results to standard output: one table for each fault
// matrix and a list of the randomised, invariant and process tests.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
)

const (
	matrixPrefix = "TestFaultMatrix"
	processTests = "currantusher.dev/bench/e2e"
	maxLine      = 16 << 20
)

// listedPrefixes start the names of tests that the page lists one by one.
var listedPrefixes = []string{"TestRandom", "TestInvariant"}

// event is one line of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
}

// results maps tests to "pass", "fail" or "skip".
type results map[testName]string

type testName struct {
	pkg  string
	test string
}

func main() {
	all, err := read(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "proofpage:", err)
		os.Exit(1)
	}
	if _, err := io.WriteString(os.Stdout, render(all)); err != nil {
		os.Exit(1)
	}
}

func read(in io.Reader) (results, error) {
	all := results{}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil || e.Test == "" {
			continue
		}
		switch e.Action {
		case "pass", "fail", "skip":
			all[testName{e.Package, e.Test}] = e.Action
		}
	}
	return all, lines.Err()
}

func render(all results) string {
	var b strings.Builder
	b.WriteString("# Proof results\n\nGenerated from a test run by `.ci/proof`. A dot is a cell that passed, an\nempty cell is a combination that the matrix does not have, and `RED` failed.\n")
	for _, name := range all.matrices() {
		all.renderMatrix(&b, name)
	}
	all.renderList(&b)
	return b.String()
}

func (r results) matrices() []testName {
	var names []testName
	for name := range r {
		if strings.HasPrefix(name.test, matrixPrefix) && !strings.Contains(name.test, "/") {
			names = append(names, name)
		}
	}
	sortNames(names)
	return names
}

func sortNames(names []testName) {
	sort.Slice(names, func(i, j int) bool {
		if names[i].pkg != names[j].pkg {
			return names[i].pkg < names[j].pkg
		}
		return names[i].test < names[j].test
	})
}

// renderMatrix splits each leaf's path before its last part; the side with
// fewer values makes the columns.
func (r results) renderMatrix(b *strings.Builder, matrix testName) {
	cells := map[[2]string]string{}
	for name, result := range r {
		path, ok := strings.CutPrefix(name.test, matrix.test+"/")
		if !ok || name.pkg != matrix.pkg || r.hasChildren(name) {
			continue
		}
		cut := strings.LastIndex(path, "/")
		cells[[2]string{path[:max(cut, 0)], path[cut+1:]}] = result
	}
	rows, columns := values(cells, 0), values(cells, 1)
	swapped := len(columns) > len(rows)
	if swapped {
		rows, columns = columns, rows
	}
	fmt.Fprintf(b, "\n## %s\n\n`%s`, %d cells.\n\n", matrix.test, matrix.pkg, len(cells))
	fmt.Fprintf(b, "| | %s |\n|---|%s\n", strings.Join(columns, " | "), strings.Repeat("---|", len(columns)))
	for _, row := range rows {
		line := make([]string, 0, len(columns))
		for _, column := range columns {
			key := [2]string{row, column}
			if swapped {
				key = [2]string{column, row}
			}
			line = append(line, symbol(cells[key]))
		}
		fmt.Fprintf(b, "| %s | %s |\n", row, strings.Join(line, " | "))
	}
}

func (r results) hasChildren(name testName) bool {
	for other := range r {
		if other.pkg == name.pkg && strings.HasPrefix(other.test, name.test+"/") {
			return true
		}
	}
	return false
}

func values(cells map[[2]string]string, side int) []string {
	seen := map[string]bool{}
	var all []string
	for key := range cells {
		if !seen[key[side]] {
			seen[key[side]] = true
			all = append(all, key[side])
		}
	}
	sort.Strings(all)
	return all
}

func symbol(result string) string {
	switch result {
	case "pass":
		return "."
	case "fail":
		return "RED"
	case "skip":
		return "not run"
	default:
		return ""
	}
}

func (r results) renderList(b *strings.Builder) {
	b.WriteString("\n## Randomised, invariant and process tests\n\n| test | package | result |\n|---|---|---|\n")
	var names []testName
	for name := range r {
		if listed(name) {
			names = append(names, name)
		}
	}
	sortNames(names)
	for _, name := range names {
		fmt.Fprintf(b, "| %s | %s | %s |\n", name.test, strings.TrimPrefix(name.pkg, "currantusher.dev/"), r[name])
	}
}

func listed(name testName) bool {
	if name.pkg == processTests {
		return true
	}
	for _, prefix := range listedPrefixes {
		if strings.HasPrefix(name.test, prefix) {
			return true
		}
	}
	return false
}
