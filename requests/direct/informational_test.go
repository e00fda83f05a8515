package direct

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/notices"
	"currantusher.dev/wire"
)

const (
	// informationalAnswers are as many as a final answer may follow.
	informationalAnswers = "HTTP/1.1 100 Continue\r\n\r\n" + "HTTP/1.1 102 Processing\r\n\r\n" + "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" +
		"HTTP/1.1 199 Odd\r\n\r\n" + "HTTP/1.1 100\r\n\r\n" + "HTTP/1.1 102 \r\n\r\n" + "HTTP/1.1 103 A\r\n\r\n"
	oneInformationalAnswer = "HTTP/1.1 103 Early Hints\r\nX-Id: r-1\r\nX-Seal: s\r\nX-Version: 3\r\n\r\n"
)

// activityObserver counts what resets the detection of silence.
type activityObserver struct {
	nopObserver
	nopAttempt
	data, answers, ended int
}

func (o *activityObserver) StartAttempt(Attempt) AttemptObserver { return o }
func (o *activityObserver) DataReceived()                        { o.data++ }

func (o *activityObserver) ConnectionEnded(notices.Lifetime, string) { o.ended++ }

func (o *activityObserver) AnswerReceived(notices.Lifetime, fleet.Model, fleet.WeightsVersion, time.Duration) {
	o.answers++
}

func TestInformationalAnswersAreNoSignOfLife(t *testing.T) {
	sound := withLength(okAnswerHead, "ok")
	run := func(answer string) (*activityObserver, []wire.AnswerFrame) {
		e, o := newTestExchange(fleet.RouteSafe), &activityObserver{}
		e.observer = o
		stream := startAttempt(t, e, "s-1", serveRawAnswer(t, answer))
		var frames []wire.AnswerFrame
		for {
			frame, err := stream.Recv()
			if err != nil {
				return o, frames
			}
			frames = append(frames, frame)
			if frame.End != nil {
				return o, frames
			}
		}
	}
	want, wantFrames := run(sound)
	got, frames := run(informationalAnswers + sound)
	require.Equal(t, want, got)
	require.Equal(t, wantFrames, frames)
	for _, answer := range []string{oneInformationalAnswer, informationalAnswers} {
		got, frames = run(answer)
		require.Equal(t, &activityObserver{ended: 1}, got, "a server that ends then counts as one that ended")
		require.Empty(t, frames)
	}
}

// holdAfter answers with text and sends nothing more. The channel gets a value when the client
// has closed the connection.
func holdAfter(t *testing.T, text string) (string, <-chan struct{}) {
	t.Helper()
	closed := make(chan struct{}, 1)
	return serveRaw(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, text)
		_, _ = io.Copy(io.Discard, conn)
		closed <- struct{}{}
	}), closed
}

func TestServerThatSendsOnlyInformationalAnswersCountsAsSilent(t *testing.T) {
	soon := func(request *dispatch.Request) { request.StartTimeout = 20 * time.Millisecond }
	for name, answer := range map[string]string{"silent": "", "one": oneInformationalAnswer, "most": informationalAnswers, "cut": informationalAnswers + "HTTP/1.1 103"} {
		t.Run(name, func(t *testing.T) {
			addr, closed := holdAfter(t, answer)
			recorder, _, err := dispatchPlainWith(t, fleet.RouteSafe, soon, addr, serveRawAnswer(t, withLength(okAnswerHead, "ok")))
			require.NoError(t, err)
			require.Equal(t, "ok", recorder.Body.String())
			<-closed

			recorder, err = dispatchStream(t, soon, addr, serveRawAnswer(t, withLength(eventAnswerHead, begunEvents)))
			require.NoError(t, err)
			require.Equal(t, begunEvents, recorder.Body.String())
			<-closed

			recorder, err = dispatchStream(t, soon, serveRawAnswer(t, brokenAnswer), addr, serveRawAnswer(t, withLength(eventAnswerHead, restEvents)))
			require.NoError(t, err, "another server resumes the stream")
			require.Equal(t, begunEvents+restEvents, recorder.Body.String())
			<-closed
		})
	}
}

func TestInformationalAnswersWithoutEndFailTheAttempt(t *testing.T) {
	for _, kind := range []fleet.RouteKind{fleet.RouteSafe, fleet.RouteUnsafe, fleet.RouteStreaming} {
		sent := make(chan error, 1)
		addr := serveRaw(t, func(conn *net.TCPConn) {
			var err error
			for err == nil {
				_, err = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
			}
			sent <- err
		})
		_, hasFailed, err := dispatchPlain(t, kind, addr)
		require.Error(t, err)
		require.Equal(t, http.StatusBadGateway, core.CodeOf(err).Info().HTTPStatus, "not the deadline")
		require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(err))
		require.True(t, hasFailed)
		require.Error(t, <-sent, "the connection is closed")
	}
}
