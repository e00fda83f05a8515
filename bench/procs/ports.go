package procs

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports are given out below the range that the system uses for outgoing
// connections, so that no connection takes a port between its choice and its
// use. Each port is given out once in a process.
const (
	firstPort = 12000
	lastPort  = 32000
)

var nextPort atomic.Int64

var errNoPort = errors.New("no free port on loopback")

// FreeTCP returns a loopback address whose TCP port is free now.
func FreeTCP() (string, error) {
	return freePort(func(addr string) error {
		listener, err := net.Listen("tcp4", addr)
		if err != nil {
			return err
		}
		return listener.Close()
	})
}

// FreeUDP returns a loopback address whose UDP port is free now.
func FreeUDP() (string, error) {
	return freePort(func(addr string) error {
		conn, err := net.ListenPacket("udp4", addr)
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

// freePort tries each port once, from a start that differs between processes.
func freePort(probe func(addr string) error) (string, error) {
	const ports = lastPort - firstPort
	for range ports {
		offset := (int64(os.Getpid())*101 + nextPort.Add(1)) % ports
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
		if probe(addr) == nil {
			return addr, nil
		}
	}
	return "", errNoPort
}
