package direct

import (
	"maps"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/cutanswer"
	"currantusher.dev/core/fleet"
)

const cutStreamBody = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

var cutRoutes = map[string]struct {
	newExchange func() *Exchange
	head, body  string
	// partial are the bodies that a caller may have before the end.
	partial []string
}{
	"safe":             {func() *Exchange { return newTestExchange(fleet.RouteSafe) }, okAnswerHead, "0123456789abcdef", nil},
	"unsafe":           {newUnsafeExchange, okAnswerHead, "0123456789abcdef", nil},
	"stream":           {newNonResumableExchange, eventAnswerHead, cutStreamBody, []string{"", "id: 1\ndata: a\n\n", cutStreamBody}},
	"resumable stream": {func() *Exchange { return newTestExchange(fleet.RouteStreaming) }, eventAnswerHead, cutStreamBody, []string{"", "id: 1\ndata: a\n\n", cutStreamBody}},
}

func newUnsafeExchange() *Exchange {
	e := newTestExchange(fleet.RouteUnsafe)
	e.request.Repeatable = false
	return e
}

func serveCut(t *testing.T, answer string, cut cutanswer.Cut) string {
	t.Helper()
	server, err := cutanswer.Start(answer[:cut.Bytes], cut.Ending)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server.Addr
}

// endsBody reports whether the cut is the end of an answer that ends with its connection.
func endsBody(answer string, cut cutanswer.Cut) bool {
	return cut.Ending == cutanswer.Closed && strings.Contains(answer[:cut.Bytes], "\r\n\r\n")
}

func TestAnswerCutAfterAnyByteIsNotWhole(t *testing.T) {
	for name, route := range cutRoutes {
		answers := maps.Clone(cutanswer.Framings(route.head, route.body))
		answers["unframed"] = cutanswer.Unframed(route.head, route.body)
		for framing, answer := range answers {
			t.Run(name+"/"+framing, func(t *testing.T) {
				for _, cut := range cutanswer.Cuts(answer) {
					if framing == "unframed" && endsBody(answer, cut) {
						continue
					}
					e := route.newExchange()
					var began, ended int
					e.observer = crashObserver{began: &began, ended: &ended}
					body, end, err := receive(t, e, serveCut(t, answer, cut))
					require.Error(t, err, cut)
					require.Nil(t, end, cut)
					require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(err), cut)
					require.True(t, strings.HasPrefix(route.body, body), cut)
					if route.partial != nil {
						require.Contains(t, route.partial, body, cut)
					}
					require.Equal(t, 1, began+ended, "%v: the end of the connection counts unless a stream began: %v", cut, err)
				}
				body, end, err := receive(t, route.newExchange(), serveCut(t, answer, cutanswer.Cut{Bytes: len(answer)}))
				require.NoError(t, err)
				require.Equal(t, core.ExecutionRan, end.Execution)
				require.Equal(t, route.body, body)
			})
		}
	}
}

func TestUnframedStreamIsNotWholeBeforeAnEventOrWithinOne(t *testing.T) {
	answer := cutanswer.Unframed(eventAnswerHead, cutStreamBody)
	for _, cut := range cutanswer.Cuts(answer) {
		_, partial, _ := strings.Cut(answer[:cut.Bytes], "\r\n\r\n")
		body, _, err := receive(t, newNonResumableExchange(), serveCut(t, answer, cut))
		if cut.Ending == cutanswer.Closed && partial != "" && strings.HasSuffix(partial, "\n\n") {
			require.NoError(t, err, cut)
			require.Equal(t, partial, body, cut)
			continue
		}
		require.Error(t, err, cut)
	}
}
