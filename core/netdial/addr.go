package netdial

import (
	"errors"
	"fmt"
	"net/netip"
)

// ErrInvalidAddr means that an address is not that of one process on the network.
var ErrInvalidAddr = errors.New("want an IP address and a port from 1 to 65535")

// maxShownAddrBytes bounds the part of an invalid address that an error contains.
const maxShownAddrBytes = 64

// CheckAddr returns an error with ErrInvalidAddr unless addr is an IP address and a port
// that can be connected to. Host names are invalid, because a lookup may block for seconds,
// and so are scoped addresses, whose zones differ between instances.
func CheckAddr(addr string) error {
	parsed, err := netip.ParseAddrPort(addr)
	ip := parsed.Addr()
	if err != nil || parsed.Port() == 0 || ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() {
		return fmt.Errorf("address %q: %w", addr[:min(len(addr), maxShownAddrBytes)], ErrInvalidAddr)
	}
	return nil
}
