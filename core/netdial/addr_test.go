package netdial

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheckAddr(t *testing.T) {
	for _, addr := range []string{"10.0.0.1:80", "127.0.0.1:65535", "[::1]:1", "[2001:db8::1]:443"} {
		require.NoError(t, CheckAddr(addr), addr)
	}
	invalid := []string{
		"", ":", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:65536", "10.0.0.1:99999999999",
		"10.0.0.1:http", "10.0.0.1:80:80", "10.0.0.1:80 ", "10.0.0.1:80\r\n", "10.0.0.256:80", "host:80", "host.example:80",
		"[fe80::1%eth0]:80", "fe80::1:80", "[::]:80", "0.0.0.0:80", "224.0.0.1:80", "\xff:80", strings.Repeat("1", 1<<20),
	}
	for _, addr := range invalid {
		err := CheckAddr(addr)
		require.ErrorIs(t, err, ErrInvalidAddr, "%.80q", addr)
		require.Less(t, len(err.Error()), 500, "the error is logged")
	}
}
