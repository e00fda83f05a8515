package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
)

// hintObserver records the hints of answers.
type hintObserver struct {
	nopObserver
	version fleet.WeightsVersion
	coldFor time.Duration
	invalid []string
}

func (o *hintObserver) AnswerReceived(_ notices.Lifetime, _ fleet.Model, version fleet.WeightsVersion, coldFor time.Duration) {
	o.version, o.coldFor = version, coldFor
}

func (o *hintObserver) InvalidHeader(_ core.InstanceID, header string, _ error) {
	o.invalid = append(o.invalid, header)
}

func (o *hintObserver) receive(t *testing.T, headers string) {
	t.Helper()
	e := newTestExchange(fleet.RouteSafe)
	e.observer = o
	body, _, err := receive(t, e, serveRawAnswer(t, okAnswerHead+headers+"Content-Length: 2\r\n\r\nok"))
	require.NoError(t, err)
	require.Equal(t, "ok", body, "the answer is forwarded")
}

// Guards against a server that counts as having the newest weights, or as cold, for ever.
func TestNumbersOutOfRangeInAnswersAreIgnored(t *testing.T) {
	for _, text := range []string{"NaN", "nan", "Inf", "-Infinity", "1e400", "1e30", "9223372036854775807", "-1", "-1e30", "x", "0x1p70", "[1]"} {
		for _, name := range []string{testHeaderNames.WeightsVersion, testHeaderNames.ColdRemaining} {
			observer := &hintObserver{}
			observer.receive(t, name+": "+text+"\r\n")
			require.Zero(t, observer.version, "%s: %s", name, text)
			require.Zero(t, observer.coldFor, "%s: %s", name, text)
			require.Equal(t, []string{name}, observer.invalid, text)
		}
	}
	observer := &hintObserver{}
	observer.receive(t, "X-Version: 3\r\nX-Cold: 1500.5\r\n")
	require.EqualValues(t, 3, observer.version)
	require.Equal(t, 1500500*time.Microsecond, observer.coldFor)
	require.Empty(t, observer.invalid)
}

// An answer that was rejected made its server count as having the version that it named.
func TestVersionInAnAnswerThatIsNotTheServersDoesNotCount(t *testing.T) {
	const unsealed = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Version: 3\r\n"
	for answer, want := range map[string]fleet.WeightsVersion{
		unsealed:                      0,
		unsealed + "X-Not-Run: 1\r\n": 3,
		okAnswerHead + "X-Version: 3\r\nContent-Encoding: gzip\r\n":             0,
		okAnswerHead + "X-Version: 3\r\n":                                       3,
		"HTTP/1.1 421 No\r\nX-Version: 3\r\n":                                   3,
		"HTTP/1.1 500 No\r\nX-Id: r-1\r\nX-Version: 3\r\n":                      3,
		"HTTP/1.1 200 OK\r\nX-Id: r-2\r\nX-Seal: s\r\nX-Version: 3\r\n":         0,
		"HTTP/1.1 103 A\r\nX-Id: r-1\r\nX-Version: 3\r\n\r\nHTTP/1.1 700 X\r\n": 0,
	} {
		observer, e := &hintObserver{}, newTestExchange(fleet.RouteSafe)
		e.observer = observer
		_, _, _ = receive(t, e, serveRawAnswer(t, answer+"Content-Length: 2\r\n\r\nok"))
		require.Equal(t, want, observer.version, answer)
	}
}
