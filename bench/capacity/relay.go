package main

import (
	"net"
	"sync"
	"sync/atomic"
)

const (
	// datagramOverhead is the size of the IPv4 and UDP headers in bytes.
	datagramOverhead = 28
	maxDatagram      = 2048
)

// traffic counts datagrams and bytes with IP and UDP headers.
type traffic struct {
	datagrams atomic.Uint64
	bytes     atomic.Uint64
}

func (t *traffic) add(payload int) {
	t.datagrams.Add(1)
	t.bytes.Add(uint64(payload + datagramOverhead))
}

// relay stands before one endpoint and counts what passes, by client address.
type relay struct {
	front  *net.UDPConn
	target *net.UDPAddr
	total  traffic
	// account is told the client and size of each datagram; it may be nil.
	account func(client string, payload int)

	mu      sync.Mutex
	clients map[string]*net.UDPConn
	wg      sync.WaitGroup
}

func newRelay(target string, account func(client string, payload int)) (*relay, error) {
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &relay{front: front, target: addr, account: account, clients: map[string]*net.UDPConn{}}
	r.wg.Go(r.forward)
	return r, nil
}

func (r *relay) addr() string { return r.front.LocalAddr().String() }

func (r *relay) forward() {
	buffer := make([]byte, maxDatagram)
	for {
		n, client, err := r.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		r.count(client.String(), n)
		back, err := r.back(client)
		if err != nil {
			return
		}
		_, _ = back.Write(buffer[:n])
	}
}

func (r *relay) count(client string, n int) {
	r.total.add(n)
	if r.account != nil {
		r.account(client, n)
	}
}

func (r *relay) back(client *net.UDPAddr) (*net.UDPConn, error) {
	key := client.String()
	r.mu.Lock()
	defer r.mu.Unlock()
	if existing := r.clients[key]; existing != nil {
		return existing, nil
	}
	conn, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil, err
	}
	r.clients[key] = conn
	r.wg.Go(func() { r.answer(client, conn) })
	return conn, nil
}

func (r *relay) answer(client *net.UDPAddr, conn *net.UDPConn) {
	key := client.String()
	buffer := make([]byte, maxDatagram)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		r.count(key, n)
		_, _ = r.front.WriteToUDP(buffer[:n], client)
	}
}

func (r *relay) close() {
	_ = r.front.Close()
	r.mu.Lock()
	for _, conn := range r.clients {
		_ = conn.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}
