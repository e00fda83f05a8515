package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/headers"
)

func TestRequestOnAConnectionThatWasClosedWhileItArrivedIsNotPassedOn(t *testing.T) {
	l := newListedGateway(t, "a")
	l.servers[0].Store.PutConfig(fleet.Configuration{
		Version:  2,
		IsOpen:   true,
		Services: []fleet.Service{{Name: testService, MaxConns: 100}},
		Routes: []fleet.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: fleet.RouteUnsafe, Timeout: time.Second, MaxAttempts: 1,
			Targets: []fleet.Target{{Service: testService, Weight: 1}},
		}},
	})
	l.read()
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	conn := &headCapturingConn{Conn: server}
	request := httptest.NewRequest("POST", "/", strings.NewReader(""))
	request.Host = "h"
	request.Header.Set(headers.Names().RequestID, "x")
	request = request.WithContext(withConn(t.Context(), conn))
	require.NoError(t, conn.Close())
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { l.serve(httptest.NewRecorder(), request) })
}
