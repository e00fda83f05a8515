package rollout

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

// Table is the table that holds the slots, one row for each pool.
const Table = "rollout-slots"

const (
	defaultLease    = 60 * time.Second
	defaultRetry    = 500 * time.Millisecond
	defaultInterval = 200 * time.Millisecond
	queueLength     = 256
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Tables platform.Tables
	// MaxUnavailable returns the slots of a pool; at least 1 is assumed.
	MaxUnavailable func(core.PoolName) int
	// Lease is how long a slot is held without renewal.
	Lease time.Duration
	// Retry is the pause that a refused agent is told.
	Retry time.Duration
	// Interval is the shortest time between two commits.
	Interval time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (c *ServerConfig) applyDefaults() error {
	if c.Tables == nil || c.MaxUnavailable == nil {
		return errors.New("rollout: Tables and MaxUnavailable are required")
	}
	if c.Lease < 0 || c.Retry < 0 || c.Interval < 0 {
		return fmt.Errorf("rollout: negative duration in lease %v, retry %v, interval %v", c.Lease, c.Retry, c.Interval)
	}
	if c.Lease == 0 {
		c.Lease = defaultLease
	}
	if c.Retry == 0 {
		c.Retry = defaultRetry
	}
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return nil
}

// Server answers KindActivate calls. Slots are rows of the table service, so
// that several servers never give out more than the pool has. Calls that come
// in the same interval share one commit.
type Server struct {
	config ServerConfig
	calls  chan call

	mu       sync.Mutex
	observed map[observation]time.Time
}

type call struct {
	request wire.SlotRequest
	reply   chan bool
}

// observation is one renewal of one slot as this server first saw it.
type observation struct {
	pool core.PoolName
	slot slot
}

// NewServer returns a server. Its Run must be running for it to answer.
func NewServer(config ServerConfig) (*Server, error) {
	if err := config.applyDefaults(); err != nil {
		return nil, err
	}
	return &Server{
		config:   config,
		calls:    make(chan call, queueLength),
		observed: map[observation]time.Time{},
	}, nil
}

// Register makes peer answer KindActivate calls.
func (s *Server) Register(peer *wire.Endpoint) {
	peer.Handle(wire.KindActivate, func(ctx context.Context, stream *wire.Stream) error {
		var request wire.SlotRequest
		if err := stream.Recv(&request); err != nil {
			return err
		}
		reply := s.Ask(ctx, request)
		return stream.Send(reply)
	})
}

// Ask answers one request. A request that cannot be decided is refused.
func (s *Server) Ask(ctx context.Context, request wire.SlotRequest) wire.SlotReply {
	refused := wire.SlotReply{RetryAfterMillis: s.config.Retry.Milliseconds()}
	asked := call{request: request, reply: make(chan bool, 1)}
	select {
	case s.calls <- asked:
	default:
		return refused
	}
	select {
	case granted := <-asked.reply:
		if granted {
			return wire.SlotReply{Granted: true, LeaseMillis: s.config.Lease.Milliseconds()}
		}
	case <-ctx.Done():
	}
	return refused
}

// Run commits batches of requests until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-s.calls:
			s.serve(ctx, s.batch(first))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(s.config.Interval):
		}
	}
}

func (s *Server) batch(first call) []call {
	calls := []call{first}
	for {
		select {
		case next := <-s.calls:
			calls = append(calls, next)
		default:
			return calls
		}
	}
}

func (s *Server) serve(ctx context.Context, calls []call) {
	pools := map[core.PoolName][]call{}
	for _, asked := range calls {
		pools[asked.request.Pool] = append(pools[asked.request.Pool], asked)
	}
	for pool, asked := range pools {
		granted, err := s.commit(ctx, pool, asked)
		for i, one := range asked {
			one.reply <- err == nil && granted[i]
		}
	}
}

func (s *Server) commit(ctx context.Context, pool core.PoolName, calls []call) ([]bool, error) {
	key := platform.RowKey{Table: Table, Key: string(pool)}
	row, version, err := s.read(ctx, key)
	if err != nil {
		return nil, err
	}
	next := s.dropExpired(pool, row)
	limit := max(1, s.config.MaxUnavailable(pool))
	granted := make([]bool, len(calls))
	for i, asked := range calls {
		next, granted[i] = apply(next, asked.request, limit)
	}
	value, err := cbor.Marshal(next)
	if err != nil {
		return nil, err
	}
	err = s.config.Tables.Commit(ctx, platform.Transaction{
		Preconditions: []platform.Precondition{{RowKey: key, Version: version}},
		Puts:          []platform.Put{{RowKey: key, Value: value}},
	})
	return granted, err
}

func apply(row poolRow, request wire.SlotRequest, limit int) (poolRow, bool) {
	if request.Op == wire.SlotRelease {
		return row.release(request.Instance, request.Incarnation), true
	}
	return row.acquire(slot{Instance: request.Instance, Incarnation: request.Incarnation, Root: request.Root}, limit)
}

func (s *Server) read(ctx context.Context, key platform.RowKey) (poolRow, uint64, error) {
	var row poolRow
	rows, err := s.config.Tables.Get(ctx, key)
	if err != nil || len(rows) == 0 {
		return row, 0, err
	}
	if err := cbor.Unmarshal(rows[0].Value, &row); err != nil {
		return row, 0, core.Wrap(err, core.CodeUnreadableRow, core.ExecutionNotRun, "row %s", key.Key)
	}
	return row, rows[0].Version, nil
}

// dropExpired removes the slots that this server has seen unchanged for longer
// than the lease.
func (s *Server) dropExpired(pool core.PoolName, row poolRow) poolRow {
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	next := poolRow{Renewals: row.Renewals}
	current := map[observation]bool{}
	for _, held := range row.Slots {
		seen := observation{pool: pool, slot: held}
		current[seen] = true
		first, known := s.observed[seen]
		if !known {
			s.observed[seen] = now
		}
		if known && now.Sub(first) > s.config.Lease {
			continue
		}
		next.Slots = append(next.Slots, held)
	}
	for seen := range s.observed {
		if seen.pool == pool && !current[seen] {
			delete(s.observed, seen)
		}
	}
	return next
}
