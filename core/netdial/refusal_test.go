package netdial

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

const noBody = "\r\nContent-Length: 0\r\n\r\n"

// copyServer performs all calls. The first one gets a refusal. On the connection of that
// call, a copy of the refusal comes before the answer to the next one.
type copyServer struct {
	refusal string
	calls   atomic.Int64
}

func (s *copyServer) start(t *testing.T) string {
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
			go s.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (s *copyServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	refused := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		answer := refused + "HTTP/1.1 200 OK" + noBody
		if s.calls.Add(1) == 1 {
			refused = s.refusal
			answer = refused
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

func TestCopyOfARefusalIsNotTakenForTheAnswerToTheNextCall(t *testing.T) {
	for name, refusal := range map[string]string{
		"412": "HTTP/1.1 412 Precondition Failed" + noBody,
		"429": "HTTP/1.1 429 Too Many Requests" + noBody,
		"503": "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno",
	} {
		t.Run(name, func(t *testing.T) {
			server := &copyServer{refusal: refusal}
			addr := server.start(t)
			client := &http.Client{Transport: &http.Transport{DialContext: OneRefusal(new(net.Dialer).DialContext)}}
			for _, wanted := range []string{refusal[9:12], "200"} {
				response, err := client.Post("http://"+addr, "text/plain", strings.NewReader("x"))
				require.NoError(t, err)
				_, err = io.ReadAll(response.Body)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				require.Equal(t, wanted, response.Status[:3])
			}
			require.EqualValues(t, 2, server.calls.Load(), "each call was sent once")
		})
	}
}

func TestConnectionIsKeptAfterASuccessThatArrivesInParts(t *testing.T) {
	conns := atomic.Int64{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					for _, part := range []string{"HTTP/", "1.1 ", "200 OK\r\nContent-Length: 2\r\n\r\n", "ok"} {
						if _, err := io.WriteString(conn, part); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	client := &http.Client{Transport: &http.Transport{DialContext: OneRefusal(new(net.Dialer).DialContext)}}
	for range 3 {
		response, err := client.Get("http://" + listener.Addr().String())
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
		require.NoError(t, response.Body.Close())
	}
	require.EqualValues(t, 1, conns.Load())
}
