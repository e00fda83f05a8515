package httpcall

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/endless"
)

const testBodyBytes = 10_000

func testClient(faults *Faults) *Client {
	return New(Config{Dial: new(net.Dialer).DialContext, Faults: faults})
}

// get returns the body of an answer and the error of the call.
func get(t *testing.T, client *Client, addr string) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr, nil)
	require.NoError(t, err)
	response, err := client.Do(request, Answer{Kind: "test", MaxBodyBytes: testBodyBytes, Timeout: time.Minute})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func getEndless(t *testing.T, answer endless.Answer) (sent int, err error) {
	t.Helper()
	server, err := endless.Start(answer)
	require.NoError(t, err)
	_, err = get(t, testClient(nil), server.Addr)
	_, sent = server.Close()
	return sent, err
}

func TestAnswerWithoutEndIsAbandoned(t *testing.T) {
	for part, answers := range map[Part]map[string]endless.Answer{PartHead: endless.Heads(), PartBody: endless.Bodies(), "": endless.BodyFramings()} {
		for name, answer := range answers {
			sent, err := getEndless(t, answer)
			require.Error(t, err, name)
			require.Less(t, sent, MaxHeadBytes+6*testBodyBytes+endless.BufferedBytes, name)
			if part == "" {
				continue
			}
			var tooLarge *TooLargeError
			require.ErrorAs(t, err, &tooLarge, name)
			require.Equal(t, part, tooLarge.Part, name)
		}
	}
}

func serveText(t *testing.T, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

func TestAnswersAtTheirBoundsAreWhole(t *testing.T) {
	body := strings.Repeat("x", testBodyBytes)
	// Content-Length is a field too.
	fields := strings.Repeat("A: b\r\n", MaxFields-1)
	got, err := get(t, testClient(nil), serveText(t, "HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n"+fields+"\r\n"+body))
	require.NoError(t, err)
	require.Equal(t, body, got)
	filler := strings.Repeat("x", MaxHeadBytes-100)
	got, err = get(t, testClient(nil), serveText(t, "HTTP/1.1 200 OK\r\nA: "+filler+"\r\nContent-Length: 10000\r\n\r\n"+body))
	require.NoError(t, err)
	require.Equal(t, body, got)
}

func TestBodyOverItsBoundIsNotTakenForAWholeOne(t *testing.T) {
	body := strings.Repeat("x", testBodyBytes+1)
	for _, framing := range []string{"Content-Length: 10001\r\n\r\n", "\r\n"} {
		_, err := get(t, testClient(nil), serveText(t, "HTTP/1.1 200 OK\r\n"+framing+body))
		var tooLarge *TooLargeError
		require.ErrorAs(t, err, &tooLarge)
		require.Equal(t, PartBody, tooLarge.Part)
		require.EqualValues(t, testBodyBytes, tooLarge.Limit)
	}
}

func TestTooManyFieldsAreAnError(t *testing.T) {
	_, err := get(t, testClient(nil), serveText(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+strings.Repeat("A: b\r\n", MaxFields)+"\r\n"))
	var tooLarge *TooLargeError
	require.ErrorAs(t, err, &tooLarge)
	require.Equal(t, PartFields, tooLarge.Part)
}

func TestErrorsDoNotQuoteLongLines(t *testing.T) {
	_, err := get(t, testClient(nil), serveText(t, strings.Repeat("\x00", MaxHeadBytes/2)+"\r\n\r\n"))
	require.Error(t, err)
	require.Less(t, len(err.Error()), 2*maxErrorBytes)
}

func TestFaultIsReportedOnceForEachServer(t *testing.T) {
	var reported []*TooLargeError
	client := testClient(NewFaults(func(fault *TooLargeError) { reported = append(reported, fault) }))
	body := strings.Repeat("x", testBodyBytes+1)
	first, second := serveText(t, "HTTP/1.1 200 OK\r\n\r\n"+body), serveText(t, "HTTP/1.1 200 OK\r\n\r\n"+body)
	for range 3 {
		for _, addr := range []string{first, second} {
			_, err := get(t, client, addr)
			require.Error(t, err)
		}
	}
	require.Len(t, reported, 2)
	require.Equal(t, &TooLargeError{Server: first, Kind: "test", Part: PartBody, Limit: testBodyBytes}, reported[0])
	require.Equal(t, second, reported[1].Server)
}

func TestRedirectsAreNotFollowed(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the redirect was followed") }))
	t.Cleanup(target.Close)
	_, err := get(t, testClient(nil), serveText(t, "HTTP/1.1 302 Found\r\nContent-Length: 0\r\nLocation: "+target.URL+"\r\n\r\n"))
	require.NoError(t, err)
}
