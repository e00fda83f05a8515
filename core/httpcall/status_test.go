package httpcall

import (
	"maps"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/oddstatus"
)

func TestAnswerWithoutAStatusOfHTTPIsNoAnswer(t *testing.T) {
	for _, body := range []string{"", "ok"} {
		answers := oddstatus.Answers("", body)
		maps.Copy(answers, oddstatus.Nested("", body))
		for name, answer := range answers {
			t.Run(name+"/"+body, func(t *testing.T) {
				server, err := oddstatus.Start(answer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				require.NoError(t, err)
				defer server.Close()
				client := testClient(nil)
				for range 2 {
					request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Addr, nil)
					require.NoError(t, err)
					response, err := client.Do(request, Answer{Kind: "test", MaxBodyBytes: testBodyBytes, Timeout: 200 * time.Millisecond})
					if err == nil {
						_ = response.Body.Close()
					}
					require.Error(t, err)
				}
				require.Zero(t, server.Reused())
				require.Equal(t, 2, server.Calls(), "no call was repeated")
			})
		}
	}
}

func TestStatusesOfHTTPAreReturnedAndTheirConnectionsAreKept(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200", "HTTP/1.1 200 OK", "HTTP/1.1 299 ", "HTTP/1.1 304 No", "HTTP/1.1 599 No", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK"} {
		server, err := oddstatus.Start(line+"\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		require.NoError(t, err)
		defer server.Close()
		client := testClient(nil)
		for range 2 {
			_, err = get(t, client, server.Addr)
			require.NoError(t, err, line)
		}
		require.Equal(t, 1, server.Reused(), line)
	}
}
