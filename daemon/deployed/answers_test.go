package deployed

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/headers"
	"currantusher.dev/platform/standin"
)

// untilFault gives the next answer of a server a fault, sends requests until one got it,
// and returns the answers to these requests; the last one met the fault.
func (d *deployment) untilFault(server *standin.Backend, fault standin.AnswerFault, send func() callResult) []callResult {
	d.t.Helper()
	server.InjectAnswers(fault, 1)
	var results []callResult
	for start := time.Now(); time.Since(start) < waitTimeout; {
		results = append(results, send())
		if server.AnswerFaultsLeft() == 0 {
			return results
		}
	}
	d.t.Fatalf("no request reached %s", server.ID)
	return nil
}

func isWholePlain(r callResult) bool {
	return r.err == nil && r.status == http.StatusOK && strings.HasSuffix(r.body, " answers lot") && r.header.Get("Content-Length") != ""
}

func isWholeStream(r callResult) bool {
	return r.err == nil && r.status == http.StatusOK && r.body == completeStream(6) && r.header.Get(headers.Names().Signature) != ""
}

func (d *deployment) stream(entry int, path string) func() callResult {
	return func() callResult { return d.sendRequest(entry, streamHost, "POST", path, "prompt", nil) }
}

func (d *deployment) plain(entry int, path string) func() callResult {
	return func() callResult { return d.sendRequest(entry, plainHost, "POST", path, "lot", nil) }
}

func TestAnswersWithoutLengthAreComplete(t *testing.T) {
	d := startDeployment(t)
	for _, result := range d.untilFault(d.plainServers[0], standin.AnswerUnframed, d.plain(0, "/issue/1")) {
		require.True(t, isWholePlain(result), "%+v", result)
	}
	for _, path := range []string{"/s/x", "/once/x"} {
		for _, result := range d.untilFault(d.engines[0], standin.AnswerUnframed, d.stream(0, path)) {
			require.True(t, isWholeStream(result), "%+v", result)
		}
	}
}

func TestBrokenAnswersDoNotLookComplete(t *testing.T) {
	for name, fault := range map[string]standin.AnswerFault{
		"reset": standin.AnswerUnframedReset, "cut": standin.AnswerUnframedCut,
		"endless head": standin.AnswerEndlessHead, "endless body": standin.AnswerEndlessBody,
		"status 000": standin.AnswerStatus000, "status 700": standin.AnswerStatus700,
	} {
		t.Run(name, func(t *testing.T) {
			// A server that failed gets fewer requests. Each fault is at another server, that of
			// the entry's own data centre.
			d := startDeployment(t)
			d.awaitRetries(0)
			for range 4 {
				require.True(t, isWholeStream(d.stream(0, "/s/x")()), "each request adds to the retries of its service")
			}
			for _, result := range d.untilFault(d.engines[0], fault, d.stream(0, "/s/x")) {
				require.True(t, isWholeStream(result), "a stream goes on at another server: %+v", result)
			}
			results := d.untilFault(d.engines[1], fault, d.stream(1, "/once/x"))
			broken := results[len(results)-1]
			require.True(t, broken.err != nil || broken.status == http.StatusBadGateway, "%+v", broken)
			require.True(t, broken.status == http.StatusBadGateway || strings.HasPrefix(completeStream(6), broken.body), "%+v", broken)
			require.True(t, broken.body == "" || strings.HasSuffix(broken.body, "\n\n"), "only whole events are handed on: %+v", broken)
			if fault == standin.AnswerUnframedCut {
				// Nothing tells a plain answer that ends early from a whole one.
				return
			}
			for _, result := range d.untilFault(d.plainServers[0], fault, d.plain(0, "/look")) {
				require.True(t, isWholePlain(result), "another server answers: %+v", result)
			}
			results = d.untilFault(d.plainServers[1], fault, d.plain(1, "/issue/1"))
			failed := results[len(results)-1]
			require.Equal(t, http.StatusBadGateway, failed.status)
			require.Empty(t, failed.header.Get(headers.Names().Signature), "the answer is not the server's")
		})
	}
}

// The caller got the text of an error or events for the second time in the middle of its
// stream, or a part of the stream as if it were complete.
func TestAnswerThatDoesNotContinueAStreamReachesNoCaller(t *testing.T) {
	for name, fault := range map[string]standin.AnswerFault{
		"error text": standin.AnswerErrorText, "error head": standin.AnswerErrorHead,
		"from the start": standin.AnswerFromStart, "empty": standin.AnswerEmpty,
	} {
		t.Run(name, func(t *testing.T) {
			const begunEvents = 2
			d := startDeployment(t)
			d.awaitRetries(0)
			for range 4 {
				require.True(t, isWholeStream(d.stream(0, "/s/x")()), "each request adds to the retries of its service")
			}
			for _, engine := range d.engines {
				engine.InjectContinuations(fault, 1)
			}
			isContinued := func() bool {
				return d.engines[0].ContinuationFaultsLeft()+d.engines[1].ContinuationFaultsLeft() < 2
			}
			for start := time.Now(); !isContinued(); {
				require.Less(t, time.Since(start), waitTimeout, "no stream was continued")
				for _, engine := range d.engines {
					engine.TruncateNextStream(begunEvents)
				}
				broken := d.stream(0, "/s/x")()
				if broken.status == http.StatusServiceUnavailable {
					continue
				}
				require.Equal(t, http.StatusOK, broken.status)
				require.ErrorIs(t, broken.err, io.ErrUnexpectedEOF, "%+v", broken)
				require.Equal(t, completeStream(begunEvents), broken.body)
				require.NotEmpty(t, broken.header.Get(headers.Names().Signature))
			}
		})
	}
}

// A caller that speaks HTTP/1.0 gets no chunks, and took the close of its connection for the
// end of the stream.
func TestBrokenStreamDoesNotLookCompleteWithoutChunks(t *testing.T) {
	d := startDeployment(t)
	send := func() (string, error) {
		conn, err := net.Dial("tcp", d.entries[0].CallerAddr)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		names := headers.Names()
		_, err = fmt.Fprintf(conn, "POST /once/x HTTP/1.0\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%s: 10,10\r\nContent-Length: 0\r\n\r\n",
			streamHost, names.RequestID, nextRequestID(), names.APIKey, apiKey, names.Model, modelName, names.TokenCounts)
		require.NoError(t, err)
		answer, err := io.ReadAll(conn)
		return string(answer), err
	}
	answer, err := send()
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(answer, "\r\n\r\n"+completeStream(6)), answer)
	for _, engine := range d.engines {
		engine.TruncateNextStream(2)
	}
	_, err = send()
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
