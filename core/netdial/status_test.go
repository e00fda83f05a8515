package netdial

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestStatusIsNotLookedForInEncryptedBytes(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	client := server.Client()
	client.Transport.(*http.Transport).DialContext = ValidStatus(new(net.Dialer).DialContext)
	for range 3 {
		response, err := client.Get(server.URL)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
}
