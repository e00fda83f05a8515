package spread

import (
	"context"
	"fmt"

	"currantusher.dev/wire"
)

// session keeps a stream open for repeated pulls from the same parent, which is
// cheaper than opening a stream for each pull.
type session struct {
	addr   string
	stream *wire.Stream
}

// call sends a pull to addr and receives the reply. It reuses the open stream if
// that leads to addr. After an error the next call opens a new stream.
func (s *session) call(ctx context.Context, p *wire.Endpoint, addr string, kind wire.Kind, request any) (wire.ConfigPullReply, error) {
	var reply wire.ConfigPullReply
	if err := s.open(ctx, p, addr, kind); err != nil {
		return reply, err
	}
	stop := context.AfterFunc(ctx, s.stream.Cancel)
	defer stop()
	if err := s.exchange(request, &reply); err != nil {
		s.close()
		return reply, fmt.Errorf("pull from %s: %w", addr, err)
	}
	if !stop() {
		s.close()
	}
	return reply, nil
}

func (s *session) open(ctx context.Context, p *wire.Endpoint, addr string, kind wire.Kind) error {
	if s.stream != nil && s.addr == addr && s.stream.Context().Err() == nil {
		return nil
	}
	s.close()
	stream, err := p.Open(ctx, addr, kind)
	if err != nil {
		return err
	}
	s.addr = addr
	s.stream = stream
	return nil
}

func (s *session) exchange(request any, reply *wire.ConfigPullReply) error {
	if err := s.stream.Send(request); err != nil {
		return err
	}
	return s.stream.Recv(reply)
}

func (s *session) close() {
	if s.stream != nil {
		s.stream.Cancel()
	}
	s.stream = nil
}
