package dispatch

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
	"currantusher.dev/requests/attempt"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/ledger"
	"currantusher.dev/requests/placement"
	"currantusher.dev/wire"
)

// scriptedSender is a Sender that answers the n-th attempt with the n-th list of
// replies. The stream breaks after the last reply if it isn't an end frame.
type scriptedSender struct {
	attempts           [][]wire.AnswerFrame
	sentDispatches     []wire.Dispatch
	tombstoneExecution core.Execution
}

func (s *scriptedSender) Send(_ context.Context, _ placement.Candidate, m wire.Dispatch) (ReplyStream, error) {
	s.sentDispatches = append(s.sentDispatches, m)
	if len(s.sentDispatches) > len(s.attempts) {
		return nil, wire.ErrNotConnected
	}
	return &scriptedStream{replies: s.attempts[len(s.sentDispatches)-1]}, nil
}

func (s *scriptedSender) Tombstone(context.Context, placement.Candidate, wire.Tombstone) (wire.TombstoneReply, error) {
	return wire.TombstoneReply{Execution: s.tombstoneExecution}, nil
}

type scriptedStream struct {
	Unobserved
	replies []wire.AnswerFrame
}

func (s *scriptedStream) Recv() (wire.AnswerFrame, error) {
	if len(s.replies) == 0 {
		return wire.AnswerFrame{}, errors.New("broken")
	}
	next := s.replies[0]
	s.replies = s.replies[1:]
	return next, nil
}

func (s *scriptedStream) Cancel() {}

type fakeLedger struct{ released, finished int }

func (l *fakeLedger) Ready() error { return nil }

func (l *fakeLedger) Claim(context.Context, ledger.Key, core.Digest, string) (ledger.Claim, error) {
	return ledger.Claim{}, nil
}

func (l *fakeLedger) Finish(ledger.Claim, ledger.Result) error {
	l.finished++
	return nil
}

func (l *fakeLedger) Release(context.Context, ledger.Claim) error {
	l.released++
	return nil
}

type testSink struct{ bytes.Buffer }

func (s *testSink) Begin(string, core.Digest) error { return nil }

func header() wire.AnswerFrame { return wire.AnswerFrame{Header: &wire.AnswerHeader{RequestID: "r"}} }

func data(sequence uint64, text string) wire.AnswerFrame {
	return wire.AnswerFrame{Data: &wire.AnswerData{Sequence: sequence, Bytes: []byte(text)}}
}

func end(text string) wire.AnswerFrame {
	return wire.AnswerFrame{End: &wire.AnswerEnd{RequestID: "r", Execution: core.ExecutionRan, Length: int64(len(text)), Checksum: core.DigestOf([]byte(text))}}
}

func refusal(code core.Code) wire.AnswerFrame {
	return wire.AnswerFrame{End: &wire.AnswerEnd{RequestID: "r", Code: code, Execution: core.ExecutionNotRun}}
}

func newTestDispatcher(s Sender, l Ledger) *Dispatcher {
	placer := placement.New(placement.Config{Entry: "e"})
	queue := fair.New(fair.Config{Capacity: func() int { return 4 }})
	candidates := []placement.Candidate{{ID: "a", Limit: 4}, {ID: "b", Limit: 4}, {ID: "c", Limit: 4}}
	return New(Config{
		Attempts:   attempt.NewGenerator("e", 1),
		Queue:      func(core.PoolName) *fair.Queue { return queue },
		Placer:     func(core.PoolName) *placement.Placer { return placer },
		Candidates: func(core.PoolName) []placement.Candidate { return candidates },
		Ledger:     l,
		Sender:     s,
	})
}

func testRequest() Request {
	return Request{ID: "r", Team: "t", Pool: "p", Deadline: time.Now().Add(time.Second)}
}

func TestInvariantDispatch(t *testing.T) {
	tests := []struct {
		violated   invariant.ID
		guard      guard
		atMostOnce bool
		attempts   [][]wire.AnswerFrame
	}{
		{invariant.WholeAnswer, guardAnswer, false, [][]wire.AnswerFrame{{header(), data(0, "cut"), end("whole")}}},
		{invariant.TrueRefusal, guardRefusal, false, [][]wire.AnswerFrame{{header()}, {refusal(core.CodeInvalidField)}}},
		{invariant.AtMostOnce, guardClaim, true, [][]wire.AnswerFrame{{header()}, {header(), end("")}}},
	}
	for _, test := range tests {
		t.Run(test.violated.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for _, disabled := range []bool{false, true} {
					d := newTestDispatcher(&scriptedSender{attempts: test.attempts}, &fakeLedger{})
					if disabled {
						d.disabledGuard = test.guard
					}
					before := invariant.Violations(test.violated)
					request := testRequest()
					request.AtMostOnce = test.atMostOnce
					err := d.Do(t.Context(), request, &testSink{})
					require.Error(t, err)
					require.Equal(t, disabled, invariant.Violations(test.violated) > before, "%v", err)
				}
			})
		})
	}
}

func TestStreamResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSender{attempts: [][]wire.AnswerFrame{{header(), data(0, "abc")}, {header(), data(0, "def"), end("def")}}}
		request := testRequest()
		request.Stream = true
		var out testSink
		require.NoError(t, newTestDispatcher(s, nil).Do(t.Context(), request, &out))
		require.Equal(t, "abcdef", out.String())
		require.EqualValues(t, 3, s.sentDispatches[1].ResumeOffset)
	})
}

// A stream whose checksum does not match is not resumed: wrong bytes may have
// reached the caller and cannot be recalled.
func TestStreamWithBadChecksumIsNotResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSender{attempts: [][]wire.AnswerFrame{{header(), data(0, "abc"), end("abd")}, {header(), end("")}}}
		request := testRequest()
		request.Stream = true
		err := newTestDispatcher(s, nil).Do(t.Context(), request, &testSink{})
		require.Equal(t, core.CodeStreamBroken, core.CodeOf(err))
		require.Len(t, s.sentDispatches, 1)
	})
}

func TestAtMostOnceRetriesOnlyWhenProvenNotRun(t *testing.T) {
	tests := []struct {
		name               string
		attempts           [][]wire.AnswerFrame
		tombstoneExecution core.Execution
		code               core.Code
		sentDispatches     int
		released           int
	}{
		{"refused, then answered", [][]wire.AnswerFrame{{refusal(core.CodeLimitReached)}, {header(), end("")}}, core.ExecutionUnknown, core.CodeOK, 2, 0},
		{"tombstone confirmed, then answered", [][]wire.AnswerFrame{{}, {header(), end("")}}, core.ExecutionNotRun, core.CodeOK, 2, 0},
		{"stream broken, outcome unknown", [][]wire.AnswerFrame{{}, {header(), end("")}}, core.ExecutionUnknown, core.CodeOutcomeUnknown, 1, 0},
		{"not connected", nil, core.ExecutionUnknown, core.CodeNoBackend, 3, 1},
		{"all agents full, then answered", [][]wire.AnswerFrame{
			{refusal(core.CodeLimitReached)}, {refusal(core.CodeLimitReached)}, {refusal(core.CodeLimitReached)},
			{refusal(core.CodeLimitReached)}, {header(), end("")},
		}, core.ExecutionUnknown, core.CodeOK, 5, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, l := &scriptedSender{attempts: test.attempts, tombstoneExecution: test.tombstoneExecution}, &fakeLedger{}
				request := testRequest()
				request.AtMostOnce = true
				d := newTestDispatcher(s, l)
				go func() { _ = d.queue(request).Run(t.Context()) }()
				err := d.Do(t.Context(), request, &testSink{})
				require.Equal(t, test.code, core.CodeOf(err), "%v", err)
				require.Len(t, s.sentDispatches, test.sentDispatches)
				require.Equal(t, test.released, l.released)
				require.Equal(t, 1-test.released, l.finished)
			})
		})
	}
}

// randomServer returns a server that refuses, fails, is silent, slow or sound.
func randomServer(random *rand.Rand) serverBehaviour {
	b := serverBehaviour{
		firstEventAfter: time.Duration(random.IntN(400)) * time.Millisecond,
		eventInterval:   time.Duration(random.IntN(120)) * time.Millisecond,
		hasEarlyHeader:  random.IntN(2) == 0,
	}
	switch random.IntN(9) {
	case 0:
		b.isUnreachable = true
	case 1:
		b.isClosed = true
	case 2:
		b.refusal = core.CodeEngineNotServing
	case 3:
		b.isSilent = true
	case 4:
		b.breaksAfter = random.IntN(8) - 1
	}
	return b
}

// Streams at random servers, each of which may pause at any time: the caller gets each
// event once and in order, no attempt is left behind, and at most MaxAttempts servers
// may have run it. A stream is cut only if a server that continued it broke it off.
func TestRandomHandovers(t *testing.T) {
	handedOver, cut := 0, 0
	for seed := range uint64(3000) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			burst := random.IntN(7)
			r := newFleetRun(t, "abcde"[:2+random.IntN(4)], burst, func(core.InstanceID) serverBehaviour { return randomServer(random) })
			pauseStarts := map[core.InstanceID]time.Time{}
			for _, server := range r.servers {
				if random.IntN(2) == 0 {
					pauseStarts[server.ID] = time.Now().Add(time.Duration(random.IntN(600)) * time.Millisecond)
				}
			}
			trace := &handoverTrace{}
			request := testRequest()
			request.Stream, request.Trace = true, trace
			request.AtMostOnce = random.IntN(8) == 0
			request.Unclaimed = request.AtMostOnce
			request.MaxAttempts, request.StartTimeout = 1+random.IntN(3), time.Second
			request.Deadline = time.Now().Add(time.Minute)
			request.PauseStart = func(id core.InstanceID) time.Time { return pauseStarts[id] }
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			callerLeaves := random.IntN(6) == 0
			if callerLeaves {
				time.AfterFunc(time.Duration(random.IntN(900))*time.Millisecond, cancel)
			}
			var out testSink
			err := r.Do(ctx, request, &out)

			require.True(t, strings.HasPrefix(r.fleet.text, out.String()), "seed %d: %q", seed, out.String())
			if err == nil {
				require.Equal(t, r.fleet.text, out.String(), "seed %d", seed)
			} else if out.Len() > 0 && !callerLeaves {
				require.True(t, r.fleet.hasCutStream, "seed %d: %v", seed, err)
				cut++
			}
			attempts := r.fleet.attempts()
			require.LessOrEqual(t, attempts, request.MaxAttempts, "seed %d", seed)
			require.LessOrEqual(t, len(r.fleet.mayHaveRun), request.MaxAttempts, "seed %d: servers that may have run the request", seed)
			require.LessOrEqual(t, r.fleet.maxOpen, max(2, request.MaxAttempts), "seed %d", seed)
			if request.AtMostOnce {
				require.LessOrEqual(t, attempts+r.fleet.returns, 1, "seed %d", seed)
				require.Empty(t, trace.to, "seed %d", seed)
			}
			require.LessOrEqual(t, r.fleet.sent-1, burst-r.placer.Retries(), "seed %d: each further send takes a retry", seed)
			r.requireNothingLeaks(t)
			handedOver += len(trace.to)
		})
	}
	require.NotZero(t, handedOver)
	require.NotZero(t, cut)
}

// BenchmarkDo measures the cost of one request at an entry, without the time of
// the agent and the network.
func BenchmarkDo(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 1024)
	end := end(string(body))
	d := newTestDispatcher(&repeatingSender{replies: []wire.AnswerFrame{header(), data(0, string(body)), end}}, nil)
	b.ReportAllocs()
	for b.Loop() {
		if err := d.Do(b.Context(), testRequest(), &testSink{}); err != nil {
			b.Fatal(err)
		}
	}
}

// repeatingSender answers every attempt with the same replies.
type repeatingSender struct {
	scriptedSender
	replies []wire.AnswerFrame
}

func (e *repeatingSender) Send(context.Context, placement.Candidate, wire.Dispatch) (ReplyStream, error) {
	return &scriptedStream{replies: e.replies}, nil
}
