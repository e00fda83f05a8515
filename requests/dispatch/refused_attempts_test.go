package dispatch

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/wire"
)

// A stream was cut after one refusal although other servers could continue it.
func TestRefusedAttemptsDoNotCountTowardsMaxAttempts(t *testing.T) {
	refused := []wire.AnswerFrame{refusal(core.CodeEngineNotServing)}
	complete := []wire.AnswerFrame{header(), data(0, "def"), end("def")}
	broken := []wire.AnswerFrame{header(), data(0, "abc")}
	cases := []struct {
		name        string
		maxAttempts int
		attempts    [][]wire.AnswerFrame
		want        string
		code        core.Code
	}{
		{"refused before the first byte", 1, [][]wire.AnswerFrame{refused, refused, complete}, "def", core.CodeOK},
		{"refused when a stream is resumed", 2, [][]wire.AnswerFrame{broken, refused, refused, complete}, "abcdef", core.CodeOK},
		{"refused at first, then broken", 1, [][]wire.AnswerFrame{refused, broken, complete}, "abc", core.CodeStreamBroken},
		{"broken twice", 2, [][]wire.AnswerFrame{broken, broken, complete}, "abcabc", core.CodeStreamBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedSender{attempts: c.attempts}
				d, placer := newClosureDispatcher(s, "abcd", 4)
				request := testRequest()
				request.Stream, request.MaxAttempts = true, c.maxAttempts
				var out testSink
				err := d.Do(t.Context(), request, &out)
				require.Equal(t, c.code, core.CodeOf(err), "%v", err)
				require.Equal(t, c.want, out.String())
				require.Equal(t, 4-(len(s.sentDispatches)-1), placer.Retries(), "each further send takes one retry")
			})
		})
	}
}

func TestRefusalsOfOneRequestAreBoundedByTheTriedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := []wire.AnswerFrame{refusal(core.CodeEngineNotServing)}
		s := &scriptedSender{attempts: [][]wire.AnswerFrame{refused, refused, refused, refused, refused}}
		d, _ := newClosureDispatcher(s, "abc", 20)
		request := testRequest()
		request.MaxAttempts = 1
		err := d.Do(t.Context(), request, &testSink{})
		require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err))
		require.Len(t, s.sentDispatches, 3)
	})
}

// An agent that refuses other weights may be tried again, so its refusals count.
func TestRefusedWeightsCountTowardsMaxAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := []wire.AnswerFrame{refusal(core.CodeDigestMismatch)}
		s := &scriptedSender{attempts: [][]wire.AnswerFrame{refused, refused, refused, refused, refused}}
		d, _ := newClosureDispatcher(s, "a", 20)
		request := testRequest()
		request.MaxAttempts = 2
		request.ChooseWeights = func() core.Digest { return core.Digest{} }
		require.Error(t, d.Do(t.Context(), request, &testSink{}))
		require.Len(t, s.sentDispatches, 2)
	})
}
