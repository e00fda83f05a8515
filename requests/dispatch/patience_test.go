package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

const (
	testCallerTimeout = 2 * time.Second
	testGiveUpAfter   = 1800 * time.Millisecond
	testGiveUpSilence = 1600 * time.Millisecond
)

// doPatiently runs a request whose caller leaves after testCallerTimeout.
func (r *fleetRun) doPatiently(t *testing.T, request Request, sink Sink, silent silences) (err error, hasLeft bool) {
	t.Helper()
	request.StartTimeout = time.Second
	request.GiveUpAt, request.GiveUpSilence, request.Silence = time.Now().Add(testGiveUpAfter), testGiveUpSilence, silent.of
	ctx, cancel := context.WithTimeout(t.Context(), testCallerTimeout)
	defer cancel()
	err = r.Do(ctx, request, sink)
	return err, ctx.Err() != nil
}

// silences is for how long servers have been silent.
type silences map[core.InstanceID]time.Duration

func (s silences) of(id core.InstanceID) time.Duration { return s[id] }

// Servers that stood still ran the requests of callers that had left long before.
func TestStreamAtServersThatStandStillEndsBeforeItsCallerLeaves(t *testing.T) {
	for name, next := range map[string]serverBehaviour{
		"others silent":             {isSilent: true},
		"others refuse":             {refusal: core.CodeEngineNotServing},
		"others silent after heads": {hasEarlyHeader: true, firstEventAfter: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, request := newSilentRun(t, "ab", 0, next)
				r.fleet.silences = map[core.InstanceID]silence{"a": {until: time.Now().Add(time.Hour)}}
				var out testSink
				err, hasLeft := r.doPatiently(t, request, &out, silences{"a": testGiveUpSilence, "b": time.Millisecond})
				require.False(t, hasLeft, "the caller left without an answer: %v", err)
				require.Equal(t, core.CodeTimeout, core.CodeOf(err))
				require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(err))
				require.Empty(t, out.String())
				r.requireNothingLeaks(t)
			})
		})
	}
}

func TestStreamIsServedIfItsFirstEventComesBeforeItsCallerLeaves(t *testing.T) {
	const late = testGiveUpAfter + 100*time.Millisecond
	for name, c := range map[string]struct {
		first, next serverBehaviour
		silent      silences
	}{
		"server sends on other requests": {serverBehaviour{firstEventAfter: late}, serverBehaviour{isSilent: true}, silences{"b": testGiveUpSilence}},
		"other server reads the prompt":  {serverBehaviour{isSilent: true}, serverBehaviour{firstEventAfter: late - time.Second - stallGrace}, silences{"a": testGiveUpSilence}},
		"event arrives within the grace": {serverBehaviour{firstEventAfter: testGiveUpAfter + stallGrace/2}, serverBehaviour{isSilent: true}, silences{"a": testGiveUpSilence, "b": testGiveUpSilence}},
		"silence is short":               {serverBehaviour{firstEventAfter: late}, serverBehaviour{isSilent: true}, silences{"a": testGiveUpSilence - time.Millisecond, "b": time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, request := newSilentRun(t, "ab", 0, c.next)
				r.fleet.silences = nil
				r.fleet.handles = behaviours(map[core.InstanceID]serverBehaviour{"a": c.first, "b": c.next})
				var out testSink
				err, _ := r.doPatiently(t, request, &out, c.silent)
				require.NoError(t, err)
				require.Equal(t, r.fleet.text, out.String())
				r.requireNothingLeaks(t)
			})
		})
	}
}

func TestStreamThatHasBegunIsNotEndedBeforeItsCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, request := newSilentRun(t, "ab", testCallerTimeout, serverBehaviour{isSilent: true})
		request.GiveUpAt, request.GiveUpSilence, request.Silence = time.Now().Add(testGiveUpAfter), testGiveUpSilence, silences{"a": testCallerTimeout, "b": testCallerTimeout}.of
		var out testSink
		require.NoError(t, r.Do(t.Context(), request, &out))
		require.Equal(t, r.fleet.text, out.String())
		r.requireNothingLeaks(t)
	})
}
