// Package trace reconstructs the timeline of a request from the logs of several
// processes: each decision with its reasons, and the changes that the processes
// logged meanwhile about the servers that the request was sent to.
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
	// lookback is the time before the first event of a request from which events
	// of its servers are shown: a load of weights and its announcement take a few
	// seconds.
	lookback = 6 * time.Second
	// maxLineBytes bounds the length of a log line.
	maxLineBytes = 1 << 20
)

// Names and values of the log fields that select events.
const (
	fieldID       = "id"
	fieldTime     = "time"
	fieldMessage  = "msg"
	fieldInstance = "instance"
	fieldServer   = "server"
	fieldTo       = "to"
	fieldAddr     = "addr"
	// fieldKey is the key of the row that changed. The row of a server has the
	// server's ID as its key.
	fieldKey  = "key"
	fieldPart = "part"
	// fieldPromptPart names the part of prompts that a quarantine concerns, and
	// fieldPromptParts those of a refused request or of the requests that waited at a
	// server when it crashed.
	fieldPromptPart  = "prompt_part"
	fieldPromptParts = "prompt_parts"
	// fieldFingerprint is the fingerprint of a whole request that failed or that a
	// quarantine concerns, and fieldFingerprints are those of the requests that waited at a
	// server when it crashed.
	fieldFingerprint  = "request_fingerprint"
	fieldFingerprints = "request_fingerprints"
	// partWatch marks changes of a process's view of the deployment.
	partWatch = "watch"
	// partQuarantine marks crashes and quarantines.
	partQuarantine = "quarantine"
)

// hiddenFields are not printed after the message: they have a column of their own
// or do not help to explain a request.
var hiddenFields = map[string]bool{
	fieldID: true, fieldTime: true, fieldMessage: true, fieldInstance: true, "level": true, fieldPart: true,
}

// entryParts are the parts that only entries log. Their events about a server are
// shown only for the entries that handled the request, because the view of another
// entry does not explain it.
var entryParts = map[string]bool{partWatch: true, "entry": true, "gossip": true, "request": true}

// Event is one log line.
type Event struct {
	At       time.Time
	Instance string
	Message  string
	// HasRequestID reports whether the line carries the ID of a request; other
	// events are about the deployment or a server that the request was sent to.
	HasRequestID bool
	Fields       map[string]any
}

// Log holds the events of all log files.
type Log struct {
	events []Event
	// Skipped counts the lines without a JSON object that has a time.
	Skipped int
}

// Read adds the events of one file. Text before the JSON object of a line, such as
// the prefix of a log collector, is ignored.
func (l *Log) Read(file io.Reader) error {
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		event, ok := parseEvent(scanner.Bytes())
		if !ok {
			l.Skipped++
			continue
		}
		l.events = append(l.events, event)
	}
	return scanner.Err()
}

func parseEvent(line []byte) (Event, bool) {
	_, object, found := strings.Cut(string(line), "{")
	if !found {
		return Event{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte("{"+object), &fields); err != nil {
		return Event{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, stringOf(fields[fieldTime]))
	if err != nil {
		return Event{}, false
	}
	return Event{At: at, Instance: stringOf(fields[fieldInstance]), Message: stringOf(fields[fieldMessage]), Fields: fields}, true
}

// stringOf returns value if it is a string, otherwise "".
func stringOf(value any) string {
	s, _ := value.(string)
	return s
}

// EventsOf returns the events of the requests with these IDs in the order of time:
// the events that carry one of the IDs, and, from lookback before the first of
// them to the last, events about the servers that the requests were sent to and
// changes of the views of the processes that handled the requests. For a request that
// was refused because the same request or a part of its prompt is quarantined, it also
// returns the quarantine and the crashes that led to it, of all processes and without a
// bound in time.
func (l *Log) EventsOf(ids ...string) []Event {
	var requestEvents []Event
	servers, handlers := map[string]bool{}, map[string]bool{}
	for _, event := range l.events {
		if !slices.Contains(ids, stringOf(event.Fields[fieldID])) {
			continue
		}
		event.HasRequestID = true
		requestEvents = append(requestEvents, event)
		handlers[event.Instance] = true
		for _, field := range []string{fieldServer, fieldTo, fieldAddr} {
			if name := stringOf(event.Fields[field]); name != "" {
				servers[name] = true
			}
		}
	}
	if len(requestEvents) == 0 {
		return nil
	}
	sortByTime(requestEvents)
	from, until := requestEvents[0].At.Add(-lookback), requestEvents[len(requestEvents)-1].At
	all := requestEvents
	quarantined := l.quarantinedTraits(requestEvents)
	for _, event := range l.events {
		if stringOf(event.Fields[fieldID]) != "" || event.At.After(until) {
			continue
		}
		if concernsTrait(event, quarantined) {
			all = append(all, event)
			continue
		}
		if event.At.Before(from) {
			continue
		}
		part := stringOf(event.Fields[fieldPart])
		switch {
		case handlers[event.Instance] && (part == partWatch || mentionsServer(event, servers)):
			all = append(all, event)
		case !entryParts[part] && mentionsServer(event, servers):
			all = append(all, event)
		}
	}
	sortByTime(all)
	return all
}

// trait is a prompt part or the fingerprint of a whole request.
type trait struct {
	isRequest bool
	id        string
}

// quarantinedTraits returns the traits of failed requests that have been quarantined by
// any process.
func (l *Log) quarantinedTraits(requestEvents []Event) map[trait]bool {
	ofRequests := map[trait]bool{}
	for _, event := range requestEvents {
		for _, t := range traitsOf(event) {
			ofRequests[t] = true
		}
	}
	quarantined := map[trait]bool{}
	if len(ofRequests) == 0 {
		return quarantined
	}
	for _, event := range l.events {
		if t, ok := quarantinedTrait(event); ok && ofRequests[t] {
			quarantined[t] = true
		}
	}
	return quarantined
}

// quarantinedTrait returns the trait that a quarantine concerns, if the event is about one.
func quarantinedTrait(event Event) (trait, bool) {
	if stringOf(event.Fields[fieldPart]) != partQuarantine {
		return trait{}, false
	}
	if id := stringOf(event.Fields[fieldPromptPart]); id != "" {
		return trait{id: id}, true
	}
	id := stringOf(event.Fields[fieldFingerprint])
	return trait{isRequest: true, id: id}, id != ""
}

// concernsTrait reports whether the event is about one of the traits.
func concernsTrait(event Event, traits map[trait]bool) bool {
	if t, ok := quarantinedTrait(event); ok {
		return traits[t]
	}
	return slices.ContainsFunc(traitsOf(event), func(t trait) bool { return traits[t] })
}

// traitsOf returns the traits of the requests that the event is about.
func traitsOf(event Event) []trait {
	var traits []trait
	for _, id := range stringsOf(event.Fields[fieldPromptParts]) {
		traits = append(traits, trait{id: id})
	}
	for _, id := range stringsOf(event.Fields[fieldFingerprints]) {
		traits = append(traits, trait{isRequest: true, id: id})
	}
	if id := stringOf(event.Fields[fieldFingerprint]); id != "" {
		traits = append(traits, trait{isRequest: true, id: id})
	}
	return traits
}

// stringsOf returns the strings in a list.
func stringsOf(value any) []string {
	list, _ := value.([]any)
	texts := make([]string, 0, len(list))
	for _, item := range list {
		texts = append(texts, stringOf(item))
	}
	return texts
}

// mentionsServer reports whether a field of the event names one of the servers, by
// ID or address.
func mentionsServer(event Event, servers map[string]bool) bool {
	for _, field := range []string{fieldServer, fieldAddr, fieldKey} {
		if servers[stringOf(event.Fields[field])] {
			return true
		}
	}
	return false
}

func sortByTime(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
}

// Write prints one line per event. Events with a request ID are marked with "*".
func Write(w io.Writer, events []Event) error {
	width := 0
	for _, event := range events {
		width = max(width, len(event.Instance))
	}
	for _, event := range events {
		mark := " "
		if event.HasRequestID {
			mark = "*"
		}
		_, err := fmt.Fprintf(w, "%s %s  %-*s  %s%s\n", mark, event.At.Format("15:04:05.000"), width, event.Instance, event.Message, formatFields(event.Fields))
		if err != nil {
			return err
		}
	}
	return nil
}

// formatFields returns the fields that are not hidden: leadingFields first, then
// the others by name.
func formatFields(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if !hiddenFields[name] {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(fieldRank(a), fieldRank(b)), cmp.Compare(a, b)) })
	var b strings.Builder
	for _, name := range names {
		value, err := json.Marshal(fields[name])
		if err != nil {
			// Not reached: the values were decoded from JSON.
			value = []byte("?")
		}
		fmt.Fprintf(&b, " %s=%s", name, strings.Trim(string(value), `"`))
	}
	return b.String()
}

// leadingFields are printed before all other fields, in this order.
var leadingFields = []string{"attempt", "attempts", fieldServer, fieldTo, "status", "code", "work", "reason", "retries"}

func fieldRank(name string) int {
	if at := slices.Index(leadingFields, name); at >= 0 {
		return at
	}
	return len(leadingFields)
}
