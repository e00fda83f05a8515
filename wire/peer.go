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
	protocolName     = "currantusher/1"
	idleTimeout      = 15 * time.Second
	keepAlivePeriod  = 5 * time.Second
	handshakeTimeout = 3 * time.Second
	maxStreams       = 4096

	streamCancelled quic.StreamErrorCode      = 1
	closedByLocal   quic.ApplicationErrorCode = 0
)

// ErrNotConnected reports that a peer could not be reached, so nothing was
// sent to it.
var ErrNotConnected = errors.New("peer not connected")

// Handler serves one incoming stream. The stream is closed when it returns.
type Handler func(ctx context.Context, stream *Stream) error

// Endpoint is one daemon's endpoint on the peer network: it listens for calls and
// opens them, over one UDP socket. It keeps one connection for each address.
type Endpoint struct {
	transport *quic.Transport
	listener  *quic.Listener
	tls       *tls.Config
	settings  *quic.Config

	mu       sync.Mutex
	handlers map[Kind]Handler
	conns    map[string]*dialing
	inbound  map[*quic.Conn]struct{}
	closed   bool

	wg sync.WaitGroup
}

type dialing struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// Listen opens a peer endpoint at an IP and UDP port. config must hold the
// daemon's certificate and the pool that peers' certificates are checked
// against.
func Listen(addr string, config *tls.Config) (*Endpoint, error) {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("peer address %q: %w", addr, err)
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, fmt.Errorf("peer address %q: %w", addr, err)
	}
	secured := config.Clone()
	secured.NextProtos = []string{protocolName}
	settings := &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
		MaxIncomingStreams:   maxStreams,
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(secured, settings)
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("listen on %q: %w", addr, err)
	}
	return &Endpoint{
		transport: transport,
		listener:  listener,
		tls:       secured,
		settings:  settings,
		handlers:  map[Kind]Handler{},
		conns:     map[string]*dialing{},
		inbound:   map[*quic.Conn]struct{}{},
	}, nil
}

// Addr returns the IP and UDP port that the endpoint listens on.
func (p *Endpoint) Addr() string { return p.listener.Addr().String() }

// Handle sets the handler of a kind of call. Call it before Serve.
func (p *Endpoint) Handle(kind Kind, handler Handler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[kind] = handler
}

// Serve accepts calls until ctx ends or the endpoint is closed.
func (p *Endpoint) Serve(ctx context.Context) error {
	for {
		conn, err := p.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
				return nil
			}
			return fmt.Errorf("accept: %w", err)
		}
		p.spawn(func() { p.serveConn(ctx, conn) })
	}
}

func (p *Endpoint) spawn(work func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		work()
	}()
}

func (p *Endpoint) serveConn(ctx context.Context, conn *quic.Conn) {
	p.mu.Lock()
	p.inbound[conn] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.inbound, conn)
		p.mu.Unlock()
	}()
	for {
		raw, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		p.spawn(func() { p.serveStream(raw) })
	}
}

func (p *Endpoint) serveStream(raw *quic.Stream) {
	stream := newStream(raw)
	defer stream.finish()
	var kind Kind
	if err := stream.Recv(&kind); err != nil {
		stream.Cancel()
		return
	}
	p.mu.Lock()
	handler := p.handlers[kind]
	p.mu.Unlock()
	if handler == nil {
		stream.Cancel()
		return
	}
	if err := handler(raw.Context(), stream); err != nil {
		stream.Cancel()
	}
}

// Open starts a call at a peer. The error wraps ErrNotConnected when nothing
// can have reached the peer.
func (p *Endpoint) Open(ctx context.Context, addr string, kind Kind) (*Stream, error) {
	conn, err := p.connect(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrNotConnected, addr, err)
	}
	raw, err := conn.OpenStreamSync(ctx)
	if err != nil {
		p.forget(addr, conn)
		return nil, fmt.Errorf("%w: %s: %w", ErrNotConnected, addr, err)
	}
	stream := newStream(raw)
	if err := stream.Send(kind); err != nil {
		stream.Cancel()
		return nil, fmt.Errorf("%w: %s: %w", ErrNotConnected, addr, err)
	}
	return stream, nil
}

func (p *Endpoint) connect(ctx context.Context, addr string) (*quic.Conn, error) {
	for {
		attempt, owner := p.attempt(addr)
		if attempt == nil {
			return nil, quic.ErrTransportClosed
		}
		if owner {
			go p.dial(addr, attempt)
		}
		select {
		case <-attempt.ready:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if attempt.err != nil {
			return nil, attempt.err
		}
		if attempt.conn.Context().Err() == nil {
			return attempt.conn, nil
		}
		p.forget(addr, attempt.conn)
	}
}

func (p *Endpoint) attempt(addr string) (*dialing, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false
	}
	if existing := p.conns[addr]; existing != nil {
		return existing, false
	}
	started := &dialing{ready: make(chan struct{})}
	p.conns[addr] = started
	return started, true
}

func (p *Endpoint) dial(addr string, attempt *dialing) {
	defer close(attempt.ready)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err == nil {
		attempt.conn, err = p.transport.Dial(ctx, udp, p.tls, p.settings)
	}
	attempt.err = err
	if err != nil {
		p.drop(addr, attempt)
	}
}

func (p *Endpoint) drop(addr string, attempt *dialing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] == attempt {
		delete(p.conns, addr)
	}
}

func (p *Endpoint) forget(addr string, conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	existing := p.conns[addr]
	if existing != nil && existing.conn == conn {
		delete(p.conns, addr)
	}
}

// Disconnect closes the connection to a peer that is gone.
func (p *Endpoint) Disconnect(addr string) {
	p.mu.Lock()
	existing := p.conns[addr]
	delete(p.conns, addr)
	p.mu.Unlock()
	if existing == nil {
		return
	}
	go func() {
		<-existing.ready
		if existing.conn != nil {
			_ = existing.conn.CloseWithError(closedByLocal, "disconnected")
		}
	}()
}

// Close ends all connections at once and waits for the handlers to return.
func (p *Endpoint) Close() error {
	p.mu.Lock()
	p.closed = true
	conns := make([]*quic.Conn, 0, len(p.inbound))
	for conn := range p.inbound {
		conns = append(conns, conn)
	}
	p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.CloseWithError(closedByLocal, "closing")
	}
	_ = p.listener.Close()
	err := p.transport.Close()
	_ = p.transport.Conn.Close()
	p.wg.Wait()
	return err
}

// Stream is one call: a sequence of frames each way. Send and Recv may run at
// the same time, but neither may run twice at once.
type Stream struct {
	raw    *quic.Stream
	reader *bufio.Reader
}

func newStream(raw *quic.Stream) *Stream {
	return &Stream{raw: raw, reader: bufio.NewReader(raw)}
}

// Send writes one message.
func (s *Stream) Send(message any) error { return WriteFrame(s.raw, message) }

// Recv reads one message. io.EOF means that the other side closed its half.
func (s *Stream) Recv(target any) error { return ReadFrame(s.reader, target) }

// CloseSend ends this side's half of the call.
func (s *Stream) CloseSend() error { return s.raw.Close() }

// Cancel ends both halves at once; the other side sees an error.
func (s *Stream) Cancel() {
	s.raw.CancelRead(streamCancelled)
	s.raw.CancelWrite(streamCancelled)
}

// SetDeadline bounds all reads and writes.
func (s *Stream) SetDeadline(at time.Time) { _ = s.raw.SetDeadline(at) }

// Context ends when the other side cancels the call or the connection ends.
func (s *Stream) Context() context.Context { return s.raw.Context() }

func (s *Stream) finish() {
	_ = s.raw.Close()
	s.raw.CancelRead(streamCancelled)
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
	defer stream.raw.CancelRead(streamCancelled)
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
