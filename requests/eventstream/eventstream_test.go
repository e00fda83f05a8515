package eventstream

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const testReadBytes = 8 << 10

func TestEventsAreSplitAtBoundaries(t *testing.T) {
	cases := []struct {
		name, text, whole, id string
		pendingBytes          int
	}{
		{"one", "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", "1", 0},
		{"incomplete event", "id: 1\ndata: a\n", "", "", 14},
		{"one and an incomplete event", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", "1", 8},
		{"CRLF line endings", "id: 7\r\ndata: a\r\n\r\n", "id: 7\r\ndata: a\r\n\r\n", "7", 0},
		{"CR line endings", "id: 7\rdata: a\r\rid: 8\r", "id: 7\rdata: a\r\r", "7", 6},
		{"mixed line endings", "id: 7\ndata: a\r\n\ndata: b\r\ndata: c\n\rid: 8\r\n", "id: 7\ndata: a\r\n\ndata: b\r\ndata: c\n\r", "7", 7},
		{"blank line ends with the next byte", "data: a\r\n\r", "data: a\r\n\r", "", 0},
		{"one CR and LF", "data: a\r\n", "", "", 9},
		{"line breaks only", "\r\n\r\n", "\r\n\r\n", "", 0},
		{"id in the data", "id: 1\ndata: id: 9\n\n", "id: 1\ndata: id: 9\n\n", "1", 0},
		{"no id", "data: a\n\n", "data: a\n\n", "", 0},
		{"field before the id", "versions: 3\nid: 4\ndata: a\n\n", "versions: 3\nid: 4\ndata: a\n\n", "4", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var splitter Splitter
			events, err := splitter.Feed([]byte(c.text))
			require.NoError(t, err)
			require.Equal(t, c.whole, string(events))
			id, err := LastID(events)
			require.NoError(t, err)
			require.Equal(t, c.id, id)
			require.Equal(t, c.pendingBytes, splitter.PendingBytes())
		})
	}
}

// However the reads split a stream, the output has the same bytes in the same
// order, and each piece of output ends with a complete event.
func TestEventsDoNotDependOnReadBoundaries(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var b strings.Builder
	for id := range 50 {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", id+1, strings.Repeat("x", random.IntN(80)))
	}
	text := b.String()
	for range 200 {
		var splitter Splitter
		var out strings.Builder
		id := ""
		for remaining := text; remaining != ""; {
			n := min(len(remaining), 1+random.IntN(40))
			part, err := splitter.Feed([]byte(remaining[:n]))
			require.NoError(t, err)
			if len(part) > 0 {
				require.True(t, strings.HasSuffix(string(part), "\n\n"))
				id, err = LastID(part)
				require.NoError(t, err)
			}
			out.Write(part)
			remaining = remaining[n:]
		}
		require.Equal(t, text, out.String())
		require.Equal(t, "50", id)
		require.Zero(t, splitter.PendingBytes())
	}
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n"), 3)
	f.Add([]byte("\r\n\r\n\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		var splitter Splitter
		var out []byte
		for remaining := text; len(remaining) > 0; {
			n := min(len(remaining), 1+max(cut, 0)%64)
			part, err := splitter.Feed(remaining[:n])
			require.LessOrEqual(t, splitter.PendingBytes(), MaxEventBytes)
			if err != nil {
				require.ErrorIs(t, err, ErrTooLarge)
				return
			}
			out = append(out, part...)
			remaining = remaining[n:]
		}
		require.Equal(t, len(text), len(out)+splitter.PendingBytes())
		require.Equal(t, string(text[:len(out)]), string(out))
	})
}

func TestHeldBytesAreBounded(t *testing.T) {
	var splitter Splitter
	part := []byte(strings.Repeat("data: a\n", testReadBytes/8))
	for fed := len(part); fed <= MaxEventBytes; fed += len(part) {
		events, err := splitter.Feed(part)
		require.NoError(t, err)
		require.Empty(t, events)
	}
	_, err := splitter.Feed(part)
	require.ErrorIs(t, err, ErrTooLarge)
	require.LessOrEqual(t, splitter.PendingBytes(), MaxEventBytes)
}

// Many events may be longer together than one may be.
func TestBoundIsOnOneEvent(t *testing.T) {
	var splitter Splitter
	for range 4 {
		for range MaxEventBytes/testReadBytes - 1 {
			_, err := splitter.Feed([]byte(strings.Repeat("x", testReadBytes)))
			require.NoError(t, err)
		}
		events, err := splitter.Feed([]byte("\n\nid:"))
		require.NoError(t, err)
		require.Greater(t, len(events), MaxEventBytes-2*testReadBytes)
	}
}
