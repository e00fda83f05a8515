package agent

import (
	"maps"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/oddstatus"
	"currantusher.dev/wire"
)

func TestBackendAnswerWithAnotherStatusThan200DoesNotReachTheEntry(t *testing.T) {
	answers := oddstatus.WithStatuses("X-Request-Id: r\r\n", "{}", 201, 202, 203, 204, 206, 299, 300, 304, 399, 400, 404, 408, 421, 500, 503, 599)
	maps.Copy(answers, oddstatus.Nested(strings.TrimPrefix(cutAnswerHead, "HTTP/1.1 200 OK\r\n"), "{}"))
	for line, answer := range answers {
		server, err := oddstatus.Start(answer, "")
		require.NoError(t, err)
		b := newBackend("http://" + server.Addr)
		_, err = b.readState(t.Context())
		require.Error(t, err, line)
		b.client.CloseIdleConnections()
		data, end := relayCut(t, "http://"+server.Addr, wire.Dispatch{RequestID: "r"})
		server.Close()
		require.Empty(t, data, line)
		require.Equal(t, core.CodeEngineFailed, end.Code, line)
		require.Equal(t, core.ExecutionUnknown, end.Execution, line)
	}
}
