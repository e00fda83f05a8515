package link

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"currantusher.dev/core"
)

const (
	maxDatagramBytes  = 64 << 10
	socketBufferBytes = 1 << 20
	// flowIdleTimeout is the time without a datagram from the daemon after which a
	// flow is closed.
	flowIdleTimeout = time.Minute
	// maxQueuedDatagrams bounds the datagrams in flight in one direction of a flow;
	// further ones are dropped.
	maxQueuedDatagrams = 512
)

// datagram is a datagram in flight that arrives at due.
type datagram struct {
	bytes []byte
	due   time.Time
}

// pipe is one direction of a flow.
type pipe struct {
	network  *Network
	from, to core.InstanceID
	queue    chan datagram
	write    func(bytes []byte)
}

func (n *Network) newPipe(from, to core.InstanceID, write func([]byte)) *pipe {
	return &pipe{network: n, from: from, to: to, queue: make(chan datagram, maxQueuedDatagrams), write: write}
}

// enqueue queues a copy of bytes, or drops it if the queue is full.
func (p *pipe) enqueue(bytes []byte) {
	d := datagram{bytes: slices.Clone(bytes), due: time.Now().Add(p.network.delay(p.from, p.to))}
	select {
	case p.queue <- d:
	default:
	}
}

// run delivers queued datagrams until done is closed.
func (p *pipe) run(done <-chan struct{}) {
	for {
		select {
		case d := <-p.queue:
			time.Sleep(time.Until(d.due))
			if p.network.transfer(p.from, p.to, len(d.bytes)) {
				p.write(d.bytes)
			}
		case <-done:
			return
		}
	}
}

// flow carries the datagrams between one remote socket and the daemon. The daemon
// receives from and sends to socket in place of the remote one.
type flow struct {
	socket *net.UDPConn
	in     *pipe
	out    *pipe
	done   chan struct{}
}

// udpProxy forwards datagrams between other daemons and the socket of one daemon.
type udpProxy struct {
	network  *Network
	id       core.InstanceID
	listener *net.UDPConn
	target   *net.UDPAddr

	mu    sync.Mutex
	flows map[netip.AddrPort]*flow
}

// ProxyUDP opens a port at which other daemons reach the daemon of instance id,
// which listens at target. The daemon must announce the returned address.
func (n *Network) ProxyUDP(id core.InstanceID, target string) (string, error) {
	address, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return "", err
	}
	listener, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	_ = listener.SetReadBuffer(socketBufferBytes)
	u := &udpProxy{network: n, id: id, listener: listener, target: address, flows: make(map[netip.AddrPort]*flow)}
	n.mu.Lock()
	n.instanceBySocket[address.String()] = id
	n.mu.Unlock()
	n.wg.Go(u.forwardInbound)
	n.wg.Go(func() {
		<-n.ctx.Done()
		u.close()
	})
	return listener.LocalAddr().String(), nil
}

func (u *udpProxy) close() {
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, f := range u.flows {
		_ = f.socket.Close()
	}
}

// forwardInbound forwards datagrams from other daemons to the daemon.
func (u *udpProxy) forwardInbound() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, source, err := u.listener.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		f, err := u.flowOf(source)
		if err != nil {
			continue
		}
		f.in.enqueue(buffer[:size])
	}
}

// flowOf returns the flow of the remote socket source, and opens it if needed.
func (u *udpProxy) flowOf(source netip.AddrPort) (*flow, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if f, found := u.flows[source]; found {
		return f, nil
	}
	socket, err := net.DialUDP("udp4", nil, u.target)
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(socketBufferBytes)
	remote := u.network.instanceAt(source.String())
	f := &flow{
		socket: socket,
		in:     u.network.newPipe(remote, u.id, func(bytes []byte) { _, _ = socket.Write(bytes) }),
		out:    u.network.newPipe(u.id, remote, func(bytes []byte) { _, _ = u.listener.WriteToUDPAddrPort(bytes, source) }),
		done:   make(chan struct{}),
	}
	u.flows[source] = f
	u.network.wg.Go(func() { f.in.run(f.done) })
	u.network.wg.Go(func() { f.out.run(f.done) })
	u.network.wg.Go(func() { u.forwardOutbound(source, f) })
	return f, nil
}

// forwardOutbound forwards datagrams from the daemon to the remote socket. It closes
// the flow after flowIdleTimeout without a datagram from the daemon.
func (u *udpProxy) forwardOutbound(source netip.AddrPort, f *flow) {
	defer u.closeFlow(source, f)
	buffer := make([]byte, maxDatagramBytes)
	for {
		_ = f.socket.SetReadDeadline(time.Now().Add(flowIdleTimeout))
		size, err := f.socket.Read(buffer)
		if errors.Is(err, net.ErrClosed) || isTimeout(err) {
			return
		}
		if err != nil {
			continue
		}
		f.out.enqueue(buffer[:size])
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (u *udpProxy) closeFlow(source netip.AddrPort, f *flow) {
	close(f.done)
	_ = f.socket.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.flows[source] == f {
		delete(u.flows, source)
	}
}
