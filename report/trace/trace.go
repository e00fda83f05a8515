// Package trace tells the life of one request from the logs of several
// processes: each decision in order, with what it was based on, and what the
// processes learned meanwhile of the servers that it went to.
package trace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// lookBack is how long before a request its servers' events are shown: a
	// load of weights and its announcement take a few seconds.
	lookBack = 6 * time.Second
	// maxLine bounds a log line.
	maxLine = 1 << 20
)

// Names of fields that the story is built from.
const (
	fieldID       = "id"
	fieldTime     = "time"
	fieldMessage  = "msg"
	fieldInstance = "instance"
	fieldServer   = "server"
	fieldTo       = "to"
	fieldAddr     = "addr"
	// fieldKey names the row that a belief comes from; a server's is its id.
	fieldKey  = "key"
	fieldPart = "part"
	// partWatch marks changes of what a process believes of the deployment.
	partWatch = "watch"
)

// hidden fields are shown in other ways or say nothing in a story.
var hidden = map[string]bool{
	fieldID: true, fieldTime: true, fieldMessage: true, fieldInstance: true, "level": true, fieldPart: true,
}

// entryParts are the parts of entries' logs. What other entries than those
// that handled a request learned of a server does not explain it.
var entryParts = map[string]bool{partWatch: true, "entry": true, "gossip": true, "request": true}

// Event is one log line.
type Event struct {
	At       time.Time
	Instance string
	Message  string
	// OfRequest says that the line carries the request's id; other events
	// concern a server that the request went to.
	OfRequest bool
	Fields    map[string]any
}

// Log is what was read of all files.
type Log struct {
	events []Event
	// Skipped counts the lines that hold no JSON object with a time.
	Skipped int
}

// Read adds the lines of one file. What stands before a line's object, as a
// collector's prefix, is ignored.
func (l *Log) Read(file io.Reader) error {
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		event, ok := parse(scanner.Bytes())
		if !ok {
			l.Skipped++
			continue
		}
		l.events = append(l.events, event)
	}
	return scanner.Err()
}

func parse(line []byte) (Event, bool) {
	_, object, found := strings.Cut(string(line), "{")
	if !found {
		return Event{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte("{"+object), &fields); err != nil {
		return Event{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, text(fields[fieldTime]))
	if err != nil {
		return Event{}, false
	}
	return Event{At: at, Instance: text(fields[fieldInstance]), Message: text(fields[fieldMessage]), Fields: fields}, true
}

func text(value any) string {
	s, _ := value.(string)
	return s
}

// Of returns the events of requests, in the order of their times: those that
// carry one of the ids, those of the servers that they went to, and what the
// processes that handled them learned meanwhile.
func (l *Log) Of(ids ...string) []Event {
	var own []Event
	servers, handlers := map[string]bool{}, map[string]bool{}
	for _, event := range l.events {
		if !slices.Contains(ids, text(event.Fields[fieldID])) {
			continue
		}
		event.OfRequest = true
		own = append(own, event)
		handlers[event.Instance] = true
		for _, field := range []string{fieldServer, fieldTo, fieldAddr} {
			if name := text(event.Fields[field]); name != "" {
				servers[name] = true
			}
		}
	}
	if len(own) == 0 {
		return nil
	}
	sortByTime(own)
	from, until := own[0].At.Add(-lookBack), own[len(own)-1].At
	all := own
	for _, event := range l.events {
		if text(event.Fields[fieldID]) != "" || event.At.Before(from) || event.At.After(until) {
			continue
		}
		part := text(event.Fields[fieldPart])
		switch {
		case handlers[event.Instance] && (part == partWatch || concerns(event, servers)):
			all = append(all, event)
		case !entryParts[part] && concerns(event, servers):
			all = append(all, event)
		}
	}
	sortByTime(all)
	return all
}

func concerns(event Event, servers map[string]bool) bool {
	for _, field := range []string{fieldServer, fieldAddr, fieldKey} {
		if servers[text(event.Fields[field])] {
			return true
		}
	}
	return false
}

func sortByTime(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
}

// Write prints a story, one line an event. Events of the request are marked.
func Write(w io.Writer, events []Event) error {
	width := 0
	for _, event := range events {
		width = max(width, len(event.Instance))
	}
	for _, event := range events {
		mark := " "
		if event.OfRequest {
			mark = "*"
		}
		_, err := fmt.Fprintf(w, "%s %s  %-*s  %s%s\n", mark, event.At.Format("15:04:05.000"), width, event.Instance, event.Message, details(event.Fields))
		if err != nil {
			return err
		}
	}
	return nil
}

// details returns a line's other fields in a fixed order.
func details(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if !hidden[name] {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
	var b strings.Builder
	for _, name := range names {
		value, err := json.Marshal(fields[name])
		if err != nil {
			// Values come from JSON, so that this does not happen.
			value = []byte("?")
		}
		fmt.Fprintf(&b, " %s=%s", name, strings.Trim(string(value), `"`))
	}
	return b.String()
}

// order lists the fields that are shown first.
var order = []string{"attempt", "attempts", fieldServer, fieldTo, "status", "code", "work", "reason", "retries"}

func rank(name string) int {
	if at := slices.Index(order, name); at >= 0 {
		return at
	}
	return len(order)
}
