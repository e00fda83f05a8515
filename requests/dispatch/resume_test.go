package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/blake3"

	"currantusher.dev/core"
	"currantusher.dev/requests/attempt"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/placement"
	"currantusher.dev/wire"
)

// breakingSender answers the first attempt with one part and then breaks the
// stream. It answers the second attempt with the rest.
type breakingSender struct{ attempts int }

func (s *breakingSender) Send(_ context.Context, _ placement.Candidate, message wire.Dispatch) (ReplyStream, error) {
	s.attempts++
	part := []byte("first ")
	if s.attempts > 1 {
		part = []byte("rest")
	}
	frames := []wire.AnswerFrame{
		{Header: &wire.AnswerHeader{RequestID: message.RequestID}},
		{Data: &wire.AnswerData{Bytes: part, EndOffset: int64(len(part))}},
	}
	if s.attempts > 1 {
		end := &wire.AnswerEnd{RequestID: message.RequestID, Execution: core.ExecutionRan, Length: int64(len(part))}
		sum := blake3.Sum256(part)
		copy(end.Checksum[:], sum[:])
		frames = append(frames, wire.AnswerFrame{End: end})
	}
	return &frameStream{frames: frames}, nil
}

func (s *breakingSender) Tombstone(context.Context, placement.Candidate, wire.Tombstone) (wire.TombstoneReply, error) {
	return wire.TombstoneReply{Execution: core.ExecutionUnknown}, nil
}

type frameStream struct {
	Unobserved
	frames []wire.AnswerFrame
}

func (s *frameStream) Recv() (wire.AnswerFrame, error) {
	if len(s.frames) == 0 {
		return wire.AnswerFrame{}, errors.New("connection reset")
	}
	next := s.frames[0]
	s.frames = s.frames[1:]
	return next, nil
}

func (s *frameStream) Cancel() {}

type recordingSink struct{ text []byte }

func (s *recordingSink) Begin(string, core.Digest) error { return nil }

func (s *recordingSink) Write(p []byte) (int, error) {
	s.text = append(s.text, p...)
	return len(p), nil
}

// A stream that breaks while all servers are full is resumed as soon as a server
// has a free slot, even after FirstByteDeadline.
func TestBrokenStreamWaitsForCapacity(t *testing.T) {
	queue := fair.New(fair.Config{Capacity: func() int { return 1 }, ExpectedRunTime: time.Millisecond, UpdatePeriod: time.Millisecond})
	queueCtx, stopQueue := context.WithCancel(context.Background())
	defer stopQueue()
	go func() { _ = queue.Run(queueCtx) }()
	placer := placement.New(placement.Config{RetryBurst: 5})
	var candidateCalls atomic.Int32
	sender, sink := &breakingSender{}, &recordingSink{}
	dispatcher := New(Config{
		Attempts:         attempt.NewGenerator("e-1", 1),
		Queue:            func(core.PoolName) *fair.Queue { return queue },
		Placer:           func(core.PoolName) *placement.Placer { return placer },
		TombstoneTimeout: time.Millisecond,
	})
	start := time.Now()
	err := dispatcher.Do(context.Background(), Request{
		ID: "r-1", Stream: true, Deadline: start.Add(time.Minute), FirstByteDeadline: start.Add(10 * time.Second), Sender: sender,
		Candidates: func() []placement.Candidate {
			freeSlots := 1
			if n := candidateCalls.Add(1); n > 1 && n < 4 {
				freeSlots = 0
			}
			return []placement.Candidate{{ID: core.InstanceID(rune('a' + sender.attempts)), Limit: 1, Direct: true, FreeSlots: freeSlots}}
		},
	}, sink)
	require.NoError(t, err)
	require.Equal(t, "first rest", string(sink.text))
	require.Equal(t, 2, sender.attempts)
}
