package main

import (
	"net"
	"sync"
	"sync/atomic"
)

const (
	// datagramHeaderBytes is the size of the IPv4 and UDP headers of a datagram.
	datagramHeaderBytes = 28
	maxDatagramBytes    = 2048
)

// traffic counts datagrams and their bytes, IP and UDP headers included.
type traffic struct {
	datagrams atomic.Uint64
	bytes     atomic.Uint64
}

func (t *traffic) add(payload int) {
	t.datagrams.Add(1)
	t.bytes.Add(uint64(payload + datagramHeaderBytes))
}

// countingRelay forwards datagrams between clients and one endpoint and counts
// them.
type countingRelay struct {
	listener   *net.UDPConn
	targetAddr *net.UDPAddr
	total      traffic
	// onDatagram is called with the address of the client and the payload size of
	// each datagram in either direction; it may be nil.
	onDatagram func(client string, payload int)

	mu           sync.Mutex
	connByClient map[string]*net.UDPConn
	wg           sync.WaitGroup
}

func newCountingRelay(target string, onDatagram func(client string, payload int)) (*countingRelay, error) {
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &countingRelay{listener: listener, targetAddr: addr, onDatagram: onDatagram, connByClient: map[string]*net.UDPConn{}}
	r.wg.Go(r.forwardRequests)
	return r, nil
}

func (r *countingRelay) addr() string { return r.listener.LocalAddr().String() }

func (r *countingRelay) forwardRequests() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, client, err := r.listener.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		r.countDatagram(client.String(), n)
		conn, err := r.connFor(client)
		if err != nil {
			return
		}
		_, _ = conn.Write(buffer[:n])
	}
}

func (r *countingRelay) countDatagram(client string, n int) {
	r.total.add(n)
	if r.onDatagram != nil {
		r.onDatagram(client, n)
	}
}

func (r *countingRelay) connFor(client *net.UDPAddr) (*net.UDPConn, error) {
	key := client.String()
	r.mu.Lock()
	defer r.mu.Unlock()
	if existing := r.connByClient[key]; existing != nil {
		return existing, nil
	}
	conn, err := net.DialUDP("udp", nil, r.targetAddr)
	if err != nil {
		return nil, err
	}
	r.connByClient[key] = conn
	r.wg.Go(func() { r.forwardReplies(client, conn) })
	return conn, nil
}

func (r *countingRelay) forwardReplies(client *net.UDPAddr, conn *net.UDPConn) {
	key := client.String()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		r.countDatagram(key, n)
		_, _ = r.listener.WriteToUDP(buffer[:n], client)
	}
}

func (r *countingRelay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, conn := range r.connByClient {
		_ = conn.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}
