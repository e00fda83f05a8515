package procs

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports are chosen below the range that the operating system uses for outgoing
// connections. Otherwise such a connection could take a port between its choice
// and its use. Each port is returned once per process.
const (
	firstPort = 12000
	lastPort  = 32000
)

var portCounter atomic.Int64

var errNoFreePort = errors.New("no free port on loopback")

// FreeTCP returns a loopback address whose TCP port was free when it was
// checked.
func FreeTCP() (string, error) {
	return freePort(func(addr string) error {
		listener, err := net.Listen("tcp4", addr)
		if err != nil {
			return err
		}
		return listener.Close()
	})
}

// FreeUDP returns a loopback address whose UDP port was free when it was
// checked.
func FreeUDP() (string, error) {
	return freePort(func(addr string) error {
		conn, err := net.ListenPacket("udp4", addr)
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

// freePort tries each port at most once, starting at a port that depends on the
// process ID.
func freePort(tryListen func(addr string) error) (string, error) {
	const portCount = lastPort - firstPort
	for range portCount {
		offset := (int64(os.Getpid())*101 + portCounter.Add(1)) % portCount
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
		if tryListen(addr) == nil {
			return addr, nil
		}
	}
	return "", errNoFreePort
}
