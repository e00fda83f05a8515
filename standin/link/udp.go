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
	maxDatagramBytes = 64 << 10
	socketBuffer     = 1 << 20
	// flowIdle is when a flow without traffic is closed.
	flowIdle = time.Minute
	// queueDatagrams bounds the datagrams under way in one direction of a flow;
	// more are dropped.
	queueDatagrams = 512
)

// datagram is under way until due.
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
	return &pipe{network: n, from: from, to: to, queue: make(chan datagram, queueDatagrams), write: write}
}

// offer queues a copy of bytes or drops it.
func (p *pipe) offer(bytes []byte) {
	d := datagram{bytes: slices.Clone(bytes), due: time.Now().Add(p.network.delay(p.from, p.to))}
	select {
	case p.queue <- d:
	default:
	}
}

func (p *pipe) run(done <-chan struct{}) {
	for {
		select {
		case d := <-p.queue:
			time.Sleep(time.Until(d.due))
			if p.network.move(p.from, p.to, len(d.bytes)) {
				p.write(d.bytes)
			}
		case <-done:
			return
		}
	}
}

// flow carries the datagrams between one source and the daemon.
type flow struct {
	socket *net.UDPConn
	in     *pipe
	out    *pipe
	done   chan struct{}
}

// udpLink forwards datagrams between other daemons and one daemon's socket.
type udpLink struct {
	network *Network
	id      core.InstanceID
	front   *net.UDPConn
	target  *net.UDPAddr

	mu    sync.Mutex
	flows map[netip.AddrPort]*flow
}

// ProxyUDP opens a port for other daemons to reach the daemon of machine id, which
// listens at target itself. The daemon must announce the returned address.
func (n *Network) ProxyUDP(id core.InstanceID, target string) (string, error) {
	address, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return "", err
	}
	front, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	_ = front.SetReadBuffer(socketBuffer)
	l := &udpLink{network: n, id: id, front: front, target: address, flows: make(map[netip.AddrPort]*flow)}
	n.mu.Lock()
	n.bySocket[address.String()] = id
	n.mu.Unlock()
	n.wg.Go(l.forward)
	n.wg.Go(func() {
		<-n.ctx.Done()
		l.close()
	})
	return front.LocalAddr().String(), nil
}

func (l *udpLink) close() {
	_ = l.front.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.flows {
		_ = f.socket.Close()
	}
}

// forward passes datagrams from others to the daemon.
func (l *udpLink) forward() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, source, err := l.front.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		f, err := l.flow(source)
		if err != nil {
			continue
		}
		f.in.offer(buffer[:size])
	}
}

// flow returns the flow of one source, by whose socket the daemon sees it.
func (l *udpLink) flow(source netip.AddrPort) (*flow, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f, found := l.flows[source]; found {
		return f, nil
	}
	socket, err := net.DialUDP("udp4", nil, l.target)
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(socketBuffer)
	other := l.network.owner(source.String())
	f := &flow{
		socket: socket,
		in:     l.network.newPipe(other, l.id, func(bytes []byte) { _, _ = socket.Write(bytes) }),
		out:    l.network.newPipe(l.id, other, func(bytes []byte) { _, _ = l.front.WriteToUDPAddrPort(bytes, source) }),
		done:   make(chan struct{}),
	}
	l.flows[source] = f
	l.network.wg.Go(func() { f.in.run(f.done) })
	l.network.wg.Go(func() { f.out.run(f.done) })
	l.network.wg.Go(func() { l.reply(source, f) })
	return f, nil
}

// reply passes datagrams from the daemon back to one source. It ends the flow
// when the daemon is silent for long.
func (l *udpLink) reply(source netip.AddrPort, f *flow) {
	defer l.drop(source, f)
	buffer := make([]byte, maxDatagramBytes)
	for {
		_ = f.socket.SetReadDeadline(time.Now().Add(flowIdle))
		size, err := f.socket.Read(buffer)
		if errors.Is(err, net.ErrClosed) || isTimeout(err) {
			return
		}
		if err != nil {
			continue
		}
		f.out.offer(buffer[:size])
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (l *udpLink) drop(source netip.AddrPort, f *flow) {
	close(f.done)
	_ = f.socket.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.flows[source] == f {
		delete(l.flows, source)
	}
}
