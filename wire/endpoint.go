package wire

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	alpnProtocol       = "currantusher/1"
	idleTimeout        = 15 * time.Second
	keepAlivePeriod    = 5 * time.Second
	handshakeTimeout   = 3 * time.Second
	maxIncomingStreams = 4096
	// kindTimeout bounds the time until the first frame of a stream. Open sends it at once.
	kindTimeout = 10 * time.Second

	streamErrorCancelled quic.StreamErrorCode      = 1
	connClosedLocally    quic.ApplicationErrorCode = 0
)

// ErrNotConnected reports that no connection to the peer was established, so
// that nothing was sent to it.
var ErrNotConnected = errors.New("peer not connected")

// Handler serves an incoming stream, which is closed when the handler returns.
type Handler func(ctx context.Context, stream *Stream) error

// Endpoint is a daemon's endpoint of the protocol between daemons. It accepts
// and opens calls over one UDP socket, and keeps one outbound connection per
// address. It is safe for concurrent use.
type Endpoint struct {
	transport  *quic.Transport
	listener   *quic.Listener
	tlsConfig  *tls.Config
	quicConfig *quic.Config
	inbound    *inboundLimit

	mu            sync.Mutex
	handlers      map[Kind]Handler
	outboundConns map[string]*outboundConn
	inboundConns  map[*quic.Conn]struct{}
	closed        bool

	wg sync.WaitGroup
}

// outboundConn is a connection that is open or being opened. conn and err may be
// read once dialed is closed.
type outboundConn struct {
	dialed chan struct{}
	conn   *quic.Conn
	err    error
}

// Listen opens an endpoint on an IP address and UDP port. config must hold the
// daemon's certificate and the CA pool that verifies the certificates of peers.
func Listen(addr string, config *tls.Config) (*Endpoint, error) {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("peer address %q: %w", addr, err)
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, fmt.Errorf("peer address %q: %w", addr, err)
	}
	peerTLS := config.Clone()
	peerTLS.NextProtos = []string{alpnProtocol}
	quicConfig := &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
		MaxIncomingStreams:   maxIncomingStreams,
	}
	inbound := &inboundLimit{}
	transport := &quic.Transport{Conn: socket, ConnContext: inbound.admit, VerifySourceAddress: inbound.mustVerify}
	listener, err := transport.Listen(peerTLS, quicConfig)
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("listen on %q: %w", addr, err)
	}
	return &Endpoint{
		transport:     transport,
		listener:      listener,
		tlsConfig:     peerTLS,
		quicConfig:    quicConfig,
		inbound:       inbound,
		handlers:      map[Kind]Handler{},
		outboundConns: map[string]*outboundConn{},
		inboundConns:  map[*quic.Conn]struct{}{},
	}, nil
}

// Addr returns the IP address and UDP port that the endpoint listens on.
func (p *Endpoint) Addr() string { return p.listener.Addr().String() }

// Handle registers the handler of a kind of call. It must be called before
// Serve.
func (p *Endpoint) Handle(kind Kind, handler Handler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[kind] = handler
}

// Serve accepts calls until ctx is done or the endpoint is closed.
func (p *Endpoint) Serve(ctx context.Context) error {
	for {
		conn, err := p.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
				return nil
			}
			return fmt.Errorf("accept: %w", err)
		}
		p.inbound.handshakeDone(conn.Context())
		p.spawn(func() { p.serveConn(ctx, conn) })
	}
}

func (p *Endpoint) spawn(run func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		run()
	}()
}

func (p *Endpoint) serveConn(ctx context.Context, conn *quic.Conn) {
	p.mu.Lock()
	p.inboundConns[conn] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.inboundConns, conn)
		p.mu.Unlock()
	}()
	for {
		quicStream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		p.spawn(func() { p.serveStream(quicStream) })
	}
}

func (p *Endpoint) serveStream(quicStream *quic.Stream) {
	stream := newStream(quicStream)
	defer stream.finish()
	var kind Kind
	_ = quicStream.SetReadDeadline(time.Now().Add(kindTimeout))
	if err := stream.Recv(&kind); err != nil {
		stream.Cancel()
		return
	}
	_ = quicStream.SetReadDeadline(time.Time{})
	p.mu.Lock()
	handler := p.handlers[kind]
	p.mu.Unlock()
	if handler == nil {
		stream.Cancel()
		return
	}
	if err := handler(quicStream.Context(), stream); err != nil {
		stream.Cancel()
	}
}

// Open starts a call to the peer at addr. The error wraps ErrNotConnected when
// the peer cannot have received the call.
func (p *Endpoint) Open(ctx context.Context, addr string, kind Kind) (*Stream, error) {
	conn, err := p.connect(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrNotConnected, addr, err)
	}
	quicStream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		p.removeConn(addr, conn)
		return nil, fmt.Errorf("%w: %s: %w", ErrNotConnected, addr, err)
	}
	stream := newStream(quicStream)
	if err := stream.Send(kind); err != nil {
		stream.Cancel()
		return nil, fmt.Errorf("%w: %s: %w", ErrNotConnected, addr, err)
	}
	return stream, nil
}

func (p *Endpoint) connect(ctx context.Context, addr string) (*quic.Conn, error) {
	for {
		outbound, mustDial := p.getOrCreateOutbound(addr)
		if outbound == nil {
			return nil, quic.ErrTransportClosed
		}
		if mustDial {
			go p.dial(addr, outbound)
		}
		select {
		case <-outbound.dialed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if outbound.err != nil {
			return nil, outbound.err
		}
		if outbound.conn.Context().Err() == nil {
			return outbound.conn, nil
		}
		p.removeConn(addr, outbound.conn)
	}
}

// getOrCreateOutbound returns the connection to addr and whether the caller must
// dial it, or nil if the endpoint is closed.
func (p *Endpoint) getOrCreateOutbound(addr string) (*outboundConn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false
	}
	if existing := p.outboundConns[addr]; existing != nil {
		return existing, false
	}
	started := &outboundConn{dialed: make(chan struct{})}
	p.outboundConns[addr] = started
	return started, true
}

func (p *Endpoint) dial(addr string, outbound *outboundConn) {
	defer close(outbound.dialed)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err == nil {
		outbound.conn, err = p.transport.Dial(ctx, udp, p.tlsConfig, p.quicConfig)
	}
	outbound.err = err
	if err != nil {
		p.removeFailed(addr, outbound)
	}
}

func (p *Endpoint) removeFailed(addr string, outbound *outboundConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outboundConns[addr] == outbound {
		delete(p.outboundConns, addr)
	}
}

func (p *Endpoint) removeConn(addr string, conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	existing := p.outboundConns[addr]
	if existing != nil && existing.conn == conn {
		delete(p.outboundConns, addr)
	}
}

// Disconnect closes the connection to a peer that has been removed.
func (p *Endpoint) Disconnect(addr string) {
	p.mu.Lock()
	existing := p.outboundConns[addr]
	delete(p.outboundConns, addr)
	p.mu.Unlock()
	if existing == nil {
		return
	}
	go func() {
		<-existing.dialed
		if existing.conn != nil {
			_ = existing.conn.CloseWithError(connClosedLocally, "disconnected")
		}
	}()
}

// Close closes all connections immediately and waits for the handlers to
// return.
func (p *Endpoint) Close() error {
	p.mu.Lock()
	p.closed = true
	conns := make([]*quic.Conn, 0, len(p.inboundConns))
	for conn := range p.inboundConns {
		conns = append(conns, conn)
	}
	p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.CloseWithError(connClosedLocally, "closing")
	}
	_ = p.listener.Close()
	err := p.transport.Close()
	_ = p.transport.Conn.Close()
	p.wg.Wait()
	return err
}

// Stream is a call with a sequence of frames in each direction. Send and Recv
// may be called concurrently with each other, but not with themselves.
type Stream struct {
	quicStream *quic.Stream
	reader     *bufio.Reader
}

func newStream(quicStream *quic.Stream) *Stream {
	return &Stream{quicStream: quicStream, reader: bufio.NewReader(quicStream)}
}

// Send writes one message.
func (s *Stream) Send(message any) error { return WriteFrame(s.quicStream, message) }

// Recv reads one message. It returns io.EOF when the peer has closed its
// sending side.
func (s *Stream) Recv(target any) error { return ReadFrame(s.reader, target) }

// CloseSend closes the sending side of the stream.
func (s *Stream) CloseSend() error { return s.quicStream.Close() }

// Cancel aborts both directions of the stream; the peer gets an error.
func (s *Stream) Cancel() {
	s.quicStream.CancelRead(streamErrorCancelled)
	s.quicStream.CancelWrite(streamErrorCancelled)
}

// SetDeadline sets the deadline of all reads and writes.
func (s *Stream) SetDeadline(at time.Time) { _ = s.quicStream.SetDeadline(at) }

// Context is done when the peer cancels the call or the connection is closed.
func (s *Stream) Context() context.Context { return s.quicStream.Context() }

func (s *Stream) finish() {
	_ = s.quicStream.Close()
	s.quicStream.CancelRead(streamErrorCancelled)
}

// Call sends one request and receives one reply.
func Call[Reply any](ctx context.Context, p *Endpoint, addr string, kind Kind, request any) (Reply, error) {
	var reply Reply
	stream, err := p.Open(ctx, addr, kind)
	if err != nil {
		return reply, err
	}
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	defer stream.quicStream.CancelRead(streamErrorCancelled)
	if err := stream.Send(request); err != nil {
		stream.Cancel()
		return reply, fmt.Errorf("send to %s: %w", addr, err)
	}
	_ = stream.CloseSend()
	if err := stream.Recv(&reply); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return reply, fmt.Errorf("receive from %s: %w", addr, err)
	}
	return reply, nil
}
