package dispatch

import (
	"bytes"
	"context"
	"errors"
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

// script is a Sender whose attempts get the replies in turn; a missing end is
// a broken stream.
type script struct {
	attempts [][]wire.AnswerFrame
	sent     []wire.Dispatch
	work     core.Execution
}

func (s *script) Send(_ context.Context, _ placement.Candidate, m wire.Dispatch) (ReplyStream, error) {
	s.sent = append(s.sent, m)
	if len(s.sent) > len(s.attempts) {
		return nil, wire.ErrNotConnected
	}
	return &scriptStream{replies: s.attempts[len(s.sent)-1]}, nil
}

func (s *script) Tombstone(context.Context, placement.Candidate, wire.Tombstone) (wire.TombstoneReply, error) {
	return wire.TombstoneReply{Execution: s.work}, nil
}

type scriptStream struct{ replies []wire.AnswerFrame }

func (s *scriptStream) Recv() (wire.AnswerFrame, error) {
	if len(s.replies) == 0 {
		return wire.AnswerFrame{}, errors.New("broken")
	}
	next := s.replies[0]
	s.replies = s.replies[1:]
	return next, nil
}

func (s *scriptStream) Cancel() {}

type noLedger struct{ released, finished int }

func (l *noLedger) Ready() error { return nil }

func (l *noLedger) Claim(context.Context, ledger.Key, core.Digest, string) (ledger.Claim, error) {
	return ledger.Claim{}, nil
}

func (l *noLedger) Finish(ledger.Claim, ledger.Result) error {
	l.finished++
	return nil
}

func (l *noLedger) Release(context.Context, ledger.Claim) error {
	l.released++
	return nil
}

type testSink struct{ bytes.Buffer }

func (s *testSink) Begin(string, core.Digest) error { return nil }

func begin() wire.AnswerFrame { return wire.AnswerFrame{Header: &wire.AnswerHeader{RequestID: "r"}} }

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
		promise    invariant.ID
		guard      guard
		atMostOnce bool
		attempts   [][]wire.AnswerFrame
	}{
		{invariant.WholeAnswer, guardAnswer, false, [][]wire.AnswerFrame{{begin(), data(0, "cut"), end("whole")}}},
		{invariant.TrueRefusal, guardRefusal, false, [][]wire.AnswerFrame{{begin()}, {refusal(core.CodeInvalidField)}}},
		{invariant.AtMostOnce, guardClaim, true, [][]wire.AnswerFrame{{begin()}, {begin(), end("")}}},
	}
	for _, test := range tests {
		t.Run(test.promise.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for _, broken := range []bool{false, true} {
					d := newTestDispatcher(&script{attempts: test.attempts}, &noLedger{})
					if broken {
						d.skip = test.guard
					}
					before := invariant.Violations(test.promise)
					request := testRequest()
					request.AtMostOnce = test.atMostOnce
					err := d.Do(t.Context(), request, &testSink{})
					require.Error(t, err)
					require.Equal(t, broken, invariant.Violations(test.promise) > before, "%v", err)
				}
			})
		})
	}
}

func TestStreamResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{attempts: [][]wire.AnswerFrame{{begin(), data(0, "abc")}, {begin(), data(0, "def"), end("def")}}}
		request := testRequest()
		request.Stream = true
		var out testSink
		require.NoError(t, newTestDispatcher(s, nil).Do(t.Context(), request, &out))
		require.Equal(t, "abcdef", out.String())
		require.EqualValues(t, 3, s.sent[1].ResumeOffset)
	})
}

// TestFaultyStreamIsNotResumed: bytes that a checksum does not cover may have
// reached the caller and cannot be taken back.
func TestFaultyStreamIsNotResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{attempts: [][]wire.AnswerFrame{{begin(), data(0, "abc"), end("abd")}, {begin(), end("")}}}
		request := testRequest()
		request.Stream = true
		err := newTestDispatcher(s, nil).Do(t.Context(), request, &testSink{})
		require.Equal(t, core.CodeStreamBroken, core.CodeOf(err))
		require.Len(t, s.sent, 1)
	})
}

func TestAtMostOnceRetriesOnlyProven(t *testing.T) {
	tests := []struct {
		name     string
		attempts [][]wire.AnswerFrame
		work     core.Execution
		code     core.Code
		sent     int
		released int
	}{
		{"refused, then whole", [][]wire.AnswerFrame{{refusal(core.CodeLimitReached)}, {begin(), end("")}}, core.ExecutionUnknown, core.CodeOK, 2, 0},
		{"barred, then whole", [][]wire.AnswerFrame{{}, {begin(), end("")}}, core.ExecutionNotRun, core.CodeOK, 2, 0},
		{"broken", [][]wire.AnswerFrame{{}, {begin(), end("")}}, core.ExecutionUnknown, core.CodeOutcomeUnknown, 1, 0},
		{"not connected", nil, core.ExecutionUnknown, core.CodeNoBackend, 3, 1},
		{"all full, then whole", [][]wire.AnswerFrame{
			{refusal(core.CodeLimitReached)}, {refusal(core.CodeLimitReached)}, {refusal(core.CodeLimitReached)},
			{refusal(core.CodeLimitReached)}, {begin(), end("")},
		}, core.ExecutionUnknown, core.CodeOK, 5, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, l := &script{attempts: test.attempts, work: test.work}, &noLedger{}
				request := testRequest()
				request.AtMostOnce = true
				d := newTestDispatcher(s, l)
				go func() { _ = d.queue(request).Run(t.Context()) }()
				err := d.Do(t.Context(), request, &testSink{})
				require.Equal(t, test.code, core.CodeOf(err), "%v", err)
				require.Len(t, s.sent, test.sent)
				require.Equal(t, test.released, l.released)
				require.Equal(t, 1-test.released, l.finished)
			})
		})
	}
}

// BenchmarkDo measures an entry's own work for one request whose agent answers
// at once.
func BenchmarkDo(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 1024)
	end := end(string(body))
	d := newTestDispatcher(&echo{replies: []wire.AnswerFrame{begin(), data(0, string(body)), end}}, nil)
	b.ReportAllocs()
	for b.Loop() {
		if err := d.Do(b.Context(), testRequest(), &testSink{}); err != nil {
			b.Fatal(err)
		}
	}
}

// echo answers each attempt with the same replies.
type echo struct {
	script
	replies []wire.AnswerFrame
}

func (e *echo) Send(context.Context, placement.Candidate, wire.Dispatch) (ReplyStream, error) {
	return &scriptStream{replies: e.replies}, nil
}
