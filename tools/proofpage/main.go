// Command proofpage reads the output of "go test -json" from standard input and
// writes a Markdown page of test results to standard output: one table for each
// fault matrix test and a list of the randomised, invariant and process tests.
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
	// processTestPackage is the package of the tests that start the daemons as
	// processes.
	processTestPackage = "currantusher.dev/bench/e2e"
	// maxLineBytes bounds the length of an input line.
	maxLineBytes = 16 << 20
)

// listedPrefixes are the prefixes of the names of tests that the page lists
// individually.
var listedPrefixes = []string{"TestRandom", "TestInvariant"}

// event is one line of the output of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
}

// results maps each test to its result: "pass", "fail" or "skip".
type results map[testName]string

type testName struct {
	pkg  string
	test string
}

func main() {
	all, err := readResults(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "proofpage:", err)
		os.Exit(1)
	}
	if _, err := io.WriteString(os.Stdout, renderPage(all)); err != nil {
		os.Exit(1)
	}
}

// readResults ignores lines that are not JSON, such as build output.
func readResults(in io.Reader) (results, error) {
	all := results{}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
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

func renderPage(all results) string {
	var b strings.Builder
	b.WriteString("# Proof results\n\nGenerated from a test run by `.ci/proof`. A dot is a cell that passed, an\nempty cell is a combination that the matrix does not have, and `RED` failed.\n")
	for _, name := range all.matrices() {
		all.renderMatrix(&b, name)
	}
	all.renderList(&b)
	return b.String()
}

// matrices returns the names of the fault matrix tests in order.
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

// renderMatrix writes the table of one fault matrix test. A cell is a subtest
// without subtests of its own. Its path without the last element gives one
// dimension and the last element the other; the dimension with fewer values
// becomes the columns.
func (r results) renderMatrix(b *strings.Builder, matrix testName) {
	cells := map[[2]string]string{}
	for name, result := range r {
		path, ok := strings.CutPrefix(name.test, matrix.test+"/")
		if !ok || name.pkg != matrix.pkg || r.hasChildren(name) {
			continue
		}
		slash := strings.LastIndex(path, "/")
		cells[[2]string{path[:max(slash, 0)], path[slash+1:]}] = result
	}
	rows, columns := distinctValues(cells, 0), distinctValues(cells, 1)
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
			line = append(line, cellText(cells[key]))
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

// distinctValues returns the sorted values of one dimension, 0 or 1, of the cells.
func distinctValues(cells map[[2]string]string, dimension int) []string {
	seen := map[string]bool{}
	var all []string
	for key := range cells {
		if !seen[key[dimension]] {
			seen[key[dimension]] = true
			all = append(all, key[dimension])
		}
	}
	sort.Strings(all)
	return all
}

func cellText(result string) string {
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
		if isListed(name) {
			names = append(names, name)
		}
	}
	sortNames(names)
	for _, name := range names {
		fmt.Fprintf(b, "| %s | %s | %s |\n", name.test, strings.TrimPrefix(name.pkg, "currantusher.dev/"), r[name])
	}
}

func isListed(name testName) bool {
	if name.pkg == processTestPackage {
		return true
	}
	for _, prefix := range listedPrefixes {
		if strings.HasPrefix(name.test, prefix) {
			return true
		}
	}
	return false
}
