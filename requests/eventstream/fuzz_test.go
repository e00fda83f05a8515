package eventstream

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// endsWithBlankLine is the specification of the end of an event.
func endsWithBlankLine(text []byte) bool {
	text = bytes.ReplaceAll(text, []byte("\r\n"), []byte("\n"))
	text = bytes.ReplaceAll(text, []byte("\r"), []byte("\n"))
	return bytes.HasSuffix(text, []byte("\n\n")) || string(text) == "\n"
}

// wholeEvents returns the longest prefix of text that ends with an event.
func wholeEvents(text []byte) []byte {
	for end := len(text); end > 0; end-- {
		if endsWithBlankLine(text[:end]) {
			return text[:end]
		}
	}
	return nil
}

// FuzzEventSplitter checks that however the reads split a stream, the output is the
// longest prefix of the stream that ends with an event, at every moment.
func FuzzEventSplitter(f *testing.F) {
	for _, text := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\nid: 2\r", "id: 1\rdata: a\r\r", "\n", "\r\n\n\r", "data: a\n\r\n\r\r\n", "a\n", "\x00\xff\r",
	} {
		f.Add([]byte(text), uint64(1))
	}
	f.Fuzz(func(t *testing.T, text []byte, seed uint64) {
		if len(text) > 200 {
			text = text[:200]
		}
		random := rand.New(rand.NewPCG(seed, 1))
		var splitter Splitter
		var output []byte
		for fed := 0; fed < len(text); {
			n := min(len(text)-fed, 1+random.IntN(8))
			events, err := splitter.Feed(text[fed : fed+n])
			require.NoError(t, err)
			output = append(output, events...)
			fed += n
			require.Equal(t, string(wholeEvents(text[:fed])), string(output))
			require.Equal(t, fed-len(output), splitter.PendingBytes())
		}
	})
}
