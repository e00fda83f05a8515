package tables

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"currantusher.dev/platform"
)

// Change is the difference of one row between two revisions. Before is nil for
// an added row, After is nil for a deleted row.
type Change struct {
	platform.RowKey
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Changes returns the rows that differ between two sets, ordered by table and
// key.
func Changes(before, after Set) []Change {
	var keys []platform.RowKey
	for key, value := range before {
		if !before.hasSameValue(after, key, value) {
			keys = append(keys, key)
		}
	}
	for key := range after {
		if _, ok := before[key]; !ok {
			keys = append(keys, key)
		}
	}
	sortKeys(keys)
	changes := make([]Change, 0, len(keys))
	for _, key := range keys {
		changes = append(changes, Change{RowKey: key, Before: before[key], After: after[key]})
	}
	return changes
}

// Revert undoes changes in place.
func (s Set) Revert(changes []Change) {
	for _, change := range changes {
		if change.Before == nil {
			delete(s, change.RowKey)
			continue
		}
		s[change.RowKey] = change.Before
	}
}

// String describes the change on one line: "+" and the value for an added row,
// "-" for a deleted row, "~" and the changed fields for a changed row.
func (c Change) String() string {
	name := fmt.Sprintf("%s %s", c.Table, c.Key)
	switch {
	case c.Before == nil:
		return fmt.Sprintf("+ %s %s", name, c.After)
	case c.After == nil:
		return "- " + name
	default:
		return fmt.Sprintf("~ %s %s", name, strings.Join(c.fields(), ", "))
	}
}

func (c Change) fields() []string {
	var before, after map[string]any
	if json.Unmarshal(c.Before, &before) != nil || json.Unmarshal(c.After, &after) != nil {
		return []string{fmt.Sprintf("%s -> %s", c.Before, c.After)}
	}
	return fieldDiff("", before, after)
}

func fieldDiff(prefix string, before, after map[string]any) []string {
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	var diff []string
	for _, name := range sorted {
		diff = append(diff, valueDiff(prefix+name, before[name], after[name])...)
	}
	return diff
}

func valueDiff(name string, before, after any) []string {
	nestedBefore, okBefore := before.(map[string]any)
	nestedAfter, okAfter := after.(map[string]any)
	if okBefore && okAfter {
		return fieldDiff(name+".", nestedBefore, nestedAfter)
	}
	beforeText, afterText := formatValue(before), formatValue(after)
	if beforeText == afterText {
		return nil
	}
	return []string{fmt.Sprintf("%s: %s -> %s", name, beforeText, afterText)}
}

func formatValue(value any) string {
	if value == nil {
		return "unset"
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}

// Describe returns one line of text for each change.
func Describe(changes []Change) []string {
	lines := make([]string, 0, len(changes))
	for _, change := range changes {
		lines = append(lines, change.String())
	}
	return lines
}
