package httpcall

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A server that keeps sending informational answers costs its caller no more time than a silent one.
func TestInformationalAnswersDoNotExtendTheTimeToTheHead(t *testing.T) {
	const bound = time.Second
	for name, answers := range map[string][]string{
		"silent": nil,
		"one":    {"HTTP/1.1 103 Early Hints\r\n\r\n"},
		"series": {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", "HTTP/1.1 199\r\n\r\n"},
	} {
		for part, timeouts := range map[string]struct{ head, whole time.Duration }{"head": {head: bound}, "whole": {whole: bound}, "both": {head: bound, whole: time.Minute}} {
			t.Run(name+"/"+part, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					dial := func(context.Context, string, string) (net.Conn, error) {
						client, server := net.Pipe()
						go func() { _, _ = io.Copy(io.Discard, server) }()
						go func() {
							for i := 0; len(answers) > 0; i++ {
								time.Sleep(bound / 10)
								if _, err := io.WriteString(server, answers[i%len(answers)]); err != nil || len(answers) == 1 {
									return
								}
							}
						}()
						return client, nil
					}
					client := New(Config{Dial: dial, HeadTimeout: timeouts.head})
					request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://s", nil)
					require.NoError(t, err)
					start := time.Now()
					_, err = client.Do(request, Answer{Kind: "test", MaxBodyBytes: 1, Timeout: timeouts.whole})
					require.Error(t, err)
					require.Equal(t, bound, time.Since(start))
					// The server sees the end of the connection with its next write.
					time.Sleep(bound)
				})
			})
		}
	}
}
