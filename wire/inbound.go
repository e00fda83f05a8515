package wire

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// MaxInboundConns bounds the connections that peers have opened to an endpoint, handshakes
// included. A tracker has 2,600 at the target size.
const MaxInboundConns = 4096

const (
	// maxHandshakes bounds the handshakes in progress, of which a caller without a certificate
	// can begin any number. Each takes up to handshakeTimeout. One address may use half of
	// them, so that peers at other addresses can connect.
	maxHandshakes      = 512
	maxHandshakesPerIP = maxHandshakes / 2
	// verifyHandshakes is the number of handshakes in progress from which on a peer must
	// prove its address first, which takes another round trip and no state.
	verifyHandshakes = 64
)

var errTooManyConns = errors.New("too many connections")

// inboundLimit bounds the connections to an endpoint. It is safe for concurrent use.
type inboundLimit struct {
	mu         sync.Mutex
	open       int
	handshakes int
	byIP       map[netip.Addr]int
	refused    atomic.Int64
	// onRefused is called for each refused connection; it may be nil.
	onRefused func()
}

type handshakeKey struct{}

// handshake ends once, when it is complete or its connection is closed.
type handshake struct {
	limit *inboundLimit
	ip    netip.Addr
	once  sync.Once
}

func (h *handshake) end() {
	h.once.Do(func() {
		h.limit.mu.Lock()
		defer h.limit.mu.Unlock()
		h.limit.handshakes--
		if h.limit.byIP[h.ip]--; h.limit.byIP[h.ip] == 0 {
			delete(h.limit.byIP, h.ip)
		}
	})
}

// admit is the ConnContext of the transport. The context ends with the connection.
func (l *inboundLimit) admit(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	h := &handshake{limit: l, ip: ipOf(info.RemoteAddr)}
	if !l.begin(h.ip) {
		l.refuse()
		return nil, errTooManyConns
	}
	context.AfterFunc(ctx, func() {
		h.end()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.open--
	})
	return context.WithValue(ctx, handshakeKey{}, h), nil
}

func (l *inboundLimit) refuse() {
	l.refused.Add(1)
	l.mu.Lock()
	onRefused := l.onRefused
	l.mu.Unlock()
	if onRefused != nil {
		onRefused()
	}
}

// setOnRefused may be called while connections arrive, since the socket is open before.
func (l *inboundLimit) setOnRefused(onRefused func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onRefused = onRefused
}

func (l *inboundLimit) begin(ip netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= MaxInboundConns || l.handshakes >= maxHandshakes || l.byIP[ip] >= maxHandshakesPerIP {
		return false
	}
	if l.byIP == nil {
		l.byIP = map[netip.Addr]int{}
	}
	l.open++
	l.handshakes++
	l.byIP[ip]++
	return true
}

func (l *inboundLimit) handshakeDone(ctx context.Context) {
	if h, ok := ctx.Value(handshakeKey{}).(*handshake); ok {
		h.end()
	}
}

// mustVerify is the VerifySourceAddress of the transport.
func (l *inboundLimit) mustVerify(net.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handshakes >= verifyHandshakes
}

func ipOf(addr net.Addr) netip.Addr {
	if udp, ok := addr.(*net.UDPAddr); ok {
		return udp.AddrPort().Addr()
	}
	return netip.Addr{}
}

// OnRefused sets a function that is called for each connection beyond the bounds and must not
// block.
func (p *Endpoint) OnRefused(onRefused func()) { p.inbound.setOnRefused(onRefused) }

// InboundConns returns the open connections from peers, handshakes included, and how many
// were refused.
func (p *Endpoint) InboundConns() (open int, refused int64) {
	p.inbound.mu.Lock()
	defer p.inbound.mu.Unlock()
	return p.inbound.open, p.inbound.refused.Load()
}
