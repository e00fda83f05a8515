package direct

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
	"currantusher.dev/requests/placement"
	"currantusher.dev/wire"
)

// limitObserver records what answers say about limits, and reservations.
type limitObserver struct {
	nopObserver
	observations    []notices.LimitObservation
	invalid         []string
	refusal, closed error
	sent, cancelled int
}

func (o *limitObserver) LimitReceived(_ notices.Lifetime, observation notices.LimitObservation) {
	o.observations = append(o.observations, observation)
}

func (o *limitObserver) InvalidHeader(_ core.InstanceID, header string, _ error) {
	o.invalid = append(o.invalid, header)
}

func (o *limitObserver) CheckOpen(notices.Lifetime) error { return o.closed }

func (o *limitObserver) Reserve(notices.Lifetime) (Reservation, error) {
	return countedReservation{o}, o.refusal
}

type countedReservation struct{ observer *limitObserver }

func (r countedReservation) Sent(time.Time) { r.observer.sent++ }
func (r countedReservation) Cancel()        { r.observer.cancelled++ }

func TestLimitsInAnswers(t *testing.T) {
	const refused = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
	for _, c := range []struct {
		name, answer string
		// want is nil if the answer says nothing.
		want    []float64
		invalid []string
	}{
		{name: "none", answer: okAnswerHead + "Content-Length: 0\r\n", want: []float64{notices.Unlimited}},
		{name: "limit", answer: okAnswerHead + "X-Limit: 1.9\r\nContent-Length: 0\r\n", want: []float64{1.9}},
		{name: "limit in a server error", answer: "HTTP/1.1 500 No\r\nX-Id: r-1\r\nX-Limit: 3\r\nContent-Length: 0\r\n", want: []float64{3}},
		{name: "limit in a refusal", answer: refused + "X-Limit: 3\r\n", want: []float64{3}},
		{name: "refusal without a limit", answer: refused},
		{name: "server error without a limit", answer: "HTTP/1.1 500 No\r\nX-Id: r-1\r\nX-Seal: s\r\nContent-Length: 0\r\n"},
		{name: "success without a signature", answer: "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 0\r\n"},
		{name: "answer that belongs to another request", answer: "HTTP/1.1 200 OK\r\nX-Id: r-2\r\nX-Limit: 3\r\nContent-Length: 0\r\n"},
		{name: "answer of another server", answer: "HTTP/1.1 421 No\r\nX-Server: s-2\r\nX-Limit: 3\r\nContent-Length: 0\r\n"},
		{name: "misdirected request without a sender", answer: "HTTP/1.1 421 No\r\nX-Limit: 3\r\nContent-Length: 0\r\n"},
		{name: "negative", answer: okAnswerHead + "X-Limit: -1\r\nContent-Length: 0\r\n", invalid: []string{"X-Limit"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newTestExchange(fleet.RouteSafe)
			observer := &limitObserver{}
			e.observer = observer
			// Answers that are rejected are reported as errors, which other tests check.
			_, _, _ = receive(t, e, serveRawAnswer(t, c.answer+"\r\n"))
			var got []float64
			for _, o := range observer.observations {
				got = append(got, o.PerSecond)
				require.False(t, o.SentAt.After(o.ReceivedAt))
			}
			require.Equal(t, c.want, got)
			require.Equal(t, c.invalid, observer.invalid)
			require.Equal(t, 1, observer.sent)
		})
	}
}

func TestPlaceOfARequestThatIsNotSentIsReturned(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	refusal := core.NewRefusal(core.CodeServerLimited, 0, "no place")
	for _, c := range []struct {
		name      string
		observer  *limitObserver
		cancelled int
	}{
		{"no place", &limitObserver{refusal: refusal}, 0},
		{"server has closed", &limitObserver{closed: core.NewRefusal(core.CodeServerClosed, 0, "leaving")}, 1},
		{"no connection", &limitObserver{}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.name == "no connection" {
				require.NoError(t, listener.Close())
			}
			e := newTestExchange(fleet.RouteSafe)
			e.observer = c.observer
			_, err := e.Send(context.Background(), placement.Candidate{ID: "s-1", Addr: addr}, wire.Dispatch{DeadlineMillis: 10000})
			require.Error(t, err)
			require.Equal(t, c.cancelled, c.observer.cancelled)
			require.Zero(t, c.observer.sent)
			require.Zero(t, e.Attempts())
		})
	}
}
