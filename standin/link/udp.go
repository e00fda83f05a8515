package link

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"currantusher.dev/core"
)

const (
	maxDatagramBytes = 64 << 10
	socketBuffer     = 1 << 20
	// flowIdle is when a flow without traffic is closed.
	flowIdle = time.Minute
)

// udpLink forwards datagrams between other daemons and one daemon's socket.
type udpLink struct {
	network *Network
	id      core.InstanceID
	front   *net.UDPConn
	target  *net.UDPAddr

	mu    sync.Mutex
	flows map[netip.AddrPort]*net.UDPConn
}

// UDP opens a port for other daemons to reach the daemon of machine id, which
// listens at target itself. The daemon must announce the returned address.
func (n *Network) UDP(id core.InstanceID, target string) (string, error) {
	address, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return "", err
	}
	front, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	_ = front.SetReadBuffer(socketBuffer)
	l := &udpLink{network: n, id: id, front: front, target: address, flows: make(map[netip.AddrPort]*net.UDPConn)}
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
	for _, flow := range l.flows {
		_ = flow.Close()
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
		if !l.network.move(l.network.owner(source.String()), l.id, size) {
			continue
		}
		flow, err := l.flow(source)
		if err != nil {
			continue
		}
		_, _ = flow.Write(buffer[:size])
	}
}

// flow returns the socket by which the daemon sees one source.
func (l *udpLink) flow(source netip.AddrPort) (*net.UDPConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if flow, found := l.flows[source]; found {
		return flow, nil
	}
	flow, err := net.DialUDP("udp4", nil, l.target)
	if err != nil {
		return nil, err
	}
	_ = flow.SetReadBuffer(socketBuffer)
	l.flows[source] = flow
	l.network.wg.Go(func() { l.reply(source, flow) })
	return flow, nil
}

// reply passes datagrams from the daemon back to one source.
func (l *udpLink) reply(source netip.AddrPort, flow *net.UDPConn) {
	defer l.drop(source, flow)
	owner := l.network.owner(source.String())
	buffer := make([]byte, maxDatagramBytes)
	for {
		_ = flow.SetReadDeadline(time.Now().Add(flowIdle))
		size, err := flow.Read(buffer)
		if errors.Is(err, net.ErrClosed) || isTimeout(err) {
			return
		}
		if err != nil {
			continue
		}
		if l.network.move(l.id, owner, size) {
			_, _ = l.front.WriteToUDPAddrPort(buffer[:size], source)
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (l *udpLink) drop(source netip.AddrPort, flow *net.UDPConn) {
	_ = flow.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.flows[source] == flow {
		delete(l.flows, source)
	}
}
