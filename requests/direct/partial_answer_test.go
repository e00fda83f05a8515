package direct

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
)

// crashObserver counts the answers that prove a request sound and those that make it suspect.
type crashObserver struct {
	nopObserver
	began, ended *int
}

func (o crashObserver) AnswerBegan(notices.Lifetime)             { *o.began++ }
func (o crashObserver) ConnectionEnded(notices.Lifetime, string) { *o.ended++ }

func TestServerThatEndsWithinAPlainAnswerDoesNotProveTheRequestSound(t *testing.T) {
	e := newTestExchange(fleet.RouteSafe)
	var began, ended int
	e.observer = crashObserver{began: &began, ended: &ended}
	_, _, _ = receive(t, e, serveRawAnswer(t, okAnswerHead+"Content-Length: 10\r\n\r\nok"))
	require.Zero(t, began)
	require.Equal(t, 1, ended)
}
