package eventstream

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestContinuationAcceptsTheFollowingEvents(t *testing.T) {
	const seven, eight = "id: 7\ndata: a\n\n", "id: 8\ndata: b\ndata\n\n"
	for name, c := range map[string]struct {
		events, accepted string
		isRejected       bool
	}{
		"nothing":                     {"", "", false},
		"events":                      {seven + eight, seven + eight, false},
		"comment before an event":     {": working\n\n" + seven, seven, false},
		"comment between events":      {seven + ": working\n\n" + eight, seven + eight, false},
		"comment in an event":         {": working\n" + seven, ": working\n" + seven, false},
		"retry time":                  {"retry: 5\n\n" + seven, seven, false},
		"blank lines":                 {"\n\r\n\r" + seven, seven, false},
		"blank line after CR":         {"id: 7\rdata: a\r\r\nid: 8\rdata: b\r\r", "id: 7\rdata: a\r\r\nid: 8\rdata: b\r\r", false},
		"other field":                 {"versions: 3\n" + seven, "versions: 3\n" + seven, false},
		"gap":                         {eight, eight, false},
		"more digits":                 {"id: 100000000000000000000\ndata: a\n\n", "id: 100000000000000000000\ndata: a\n\n", false},
		"no space":                    {"id:7\ndata:a\n\n", "id:7\ndata:a\n\n", false},
		"same id":                     {"id: 6\ndata: a\n\n", "", true},
		"lower id of as many digits":  {"id: 5\ndata: a\n\n", "", true},
		"fewer digits after zeros":    {"id: 0005\ndata: a\n\n", "", true},
		"rejected after an event":     {seven + seven, "", true},
		"id with a sign":              {"id: +7\ndata: a\n\n", "", true},
		"id with a fraction":          {"id: 7.5\ndata: a\n\n", "", true},
		"id with a space":             {"id: 7 8\ndata: a\n\n", "", true},
		"id too long":                 {"id: " + strings.Repeat("7", MaxIDBytes+1) + "\ndata: a\n\n", "", true},
		"id in upper case":            {"ID: 7\ndata: a\n\n", "", true},
		"indented id":                 {" id: 7\ndata: a\n\n", "", true},
		"id after a comment with CR":  {": no\rid: 7\rdata: a\r\r", ": no\rid: 7\rdata: a\r\r", false},
		"status line":                 {"HTTP/1.1 200 OK\n" + seven, "", true},
		"header":                      {"Content-Type: text/plain\n" + seven, "", true},
		"text":                        {"failed\n" + seven, "", true},
		"error":                       {"event: error\n" + seven, "", true},
		"another type of event":       {"event: token\n" + seven, "event: token\n" + seven, false},
		"data that looks like a head": {"id: 7\ndata: HTTP/1.1 500 No\n\n", "id: 7\ndata: HTTP/1.1 500 No\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			accepted, err := NewContinuation("6").Accept([]byte(c.events))
			require.Equal(t, c.accepted, string(accepted))
			if c.isRejected {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
		})
	}
}

func TestStreamWithoutANumberIsNotContinued(t *testing.T) {
	for _, last := range []string{"", "a", "6a", "-6"} {
		_, err := NewContinuation(last).Accept([]byte("id: 7\ndata: a\n\n"))
		require.ErrorIs(t, err, ErrNotContinued)
	}
}

// The rest of a stream is accepted however the reads split it.
func TestContinuationDoesNotDependOnReadBoundaries(t *testing.T) {
	for _, end := range []string{"\n", "\r\n", "\r"} {
		text := strings.ReplaceAll("id: 7\ndata: a\n\n: working\n\nid: 8\ndata: b\n\nid: 10\ndata: c\n\n", "\n", end)
		for size := 1; size <= len(text); size++ {
			var splitter Splitter
			continuation := NewContinuation("6")
			var out strings.Builder
			for rest := text; rest != ""; {
				n := min(size, len(rest))
				events, err := splitter.Feed([]byte(rest[:n]))
				require.NoError(t, err)
				accepted, err := continuation.Accept(events)
				require.NoError(t, err)
				out.Write(accepted)
				rest = rest[n:]
			}
			lines := strings.FieldsFunc(out.String(), isLineEnd)
			require.Equal(t, []string{"id: 7", "data: a", "id: 8", "data: b", "id: 10", "data: c"}, lines)
		}
	}
}

func TestCommentsAndRetryTimesAreNoEvents(t *testing.T) {
	for text, hasEvent := range map[string]bool{
		"": false, "\n\r\n": false, ": a\n\n": false, "retry: 5\n\n: a\n\n": false,
		"data: a\n\n": true, ": a\n\nid: 1\n\n": true, "text\n\n": true, "event: error\n\n": true,
	} {
		require.Equal(t, hasEvent, HasEvent([]byte(text)), "%q", text)
	}
}
