package link

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
	return conn
}

func sendTo(t *testing.T, from *net.UDPConn, to, text string) {
	t.Helper()
	address, err := net.ResolveUDPAddr("udp4", to)
	require.NoError(t, err)
	_, err = from.WriteTo([]byte(text), address)
	require.NoError(t, err)
}

func receive(t *testing.T, conn *net.UDPConn) (string, string) {
	t.Helper()
	buffer := make([]byte, 100)
	size, source, err := conn.ReadFrom(buffer)
	require.NoError(t, err)
	return string(buffer[:size]), source.String()
}

func twoInstances(t *testing.T) (n *Network, a, b *net.UDPConn, proxyOfB string) {
	n = NewNetwork(Config{DataCentreDelay: time.Millisecond, RegionDelay: 2 * time.Millisecond})
	t.Cleanup(n.Close)
	n.AddInstance(Instance{ID: "a", DataCentre: "bern-west", Region: "mittelland"})
	n.AddInstance(Instance{ID: "b", DataCentre: "lugano-sud", Region: "ticino"})
	a, b = listenUDP(t), listenUDP(t)
	_, err := n.ProxyUDP("a", a.LocalAddr().String())
	require.NoError(t, err)
	proxyOfB, err = n.ProxyUDP("b", b.LocalAddr().String())
	require.NoError(t, err)
	return n, a, b, proxyOfB
}

func TestUDPCountsBothLinks(t *testing.T) {
	n, a, b, proxyOfB := twoInstances(t)
	sendTo(t, a, proxyOfB, "question")
	text, source := receive(t, b)
	require.Equal(t, "question", text)
	sendTo(t, b, source, "answer")
	text, source = receive(t, a)
	require.Equal(t, "answer", text)
	require.Equal(t, proxyOfB, source)
	require.Equal(t, 2*time.Millisecond, n.delay("a", "b"))
	require.EqualValues(t, 14, n.InterRegionBytes())
	require.Equal(t, LinkBytes{Received: 6, Sent: 8}, n.LinkBytes("a"))
	require.Equal(t, LinkBytes{Received: 8, Sent: 6}, n.LinkBytes("b"))
}

func TestPartitionAndIsolation(t *testing.T) {
	n, a, b, proxyOfB := twoInstances(t)
	n.SetPartitioned("lugano-sud", "bern-west", true)
	sendTo(t, a, proxyOfB, "cut")
	require.Eventually(t, func() bool { return !n.connected("a", "b") }, time.Minute, time.Millisecond)
	n.SetIsolated("b", true)
	n.SetPartitioned("bern-west", "lugano-sud", false)
	require.False(t, n.transfer("a", "b", 1))
	n.SetIsolated("b", false)
	require.True(t, n.transfer("a", "b", 1))
	sendTo(t, a, proxyOfB, "mended")
	for {
		text, _ := receive(t, b)
		if text == "mended" {
			return
		}
	}
}

func TestTCPCountsBytesAndIsolates(t *testing.T) {
	n := NewNetwork(Config{DataCentreDelay: time.Millisecond, RegionDelay: 2 * time.Millisecond})
	defer n.Close()
	n.AddInstance(Instance{ID: "a", DataCentre: "bern-west", Region: "mittelland"})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "0123456789")
	}))
	defer server.Close()
	proxyAddr, err := n.ProxyTCP("a", server.Listener.Addr().String())
	require.NoError(t, err)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + proxyAddr)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, "0123456789", string(body))
	require.Greater(t, n.LinkBytes("a").Received, int64(10))
	require.Positive(t, n.LinkBytes("a").Sent)
	n.SetIsolated("a", true)
	_, err = client.Get("http://" + proxyAddr)
	require.Error(t, err)
}
