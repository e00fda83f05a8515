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

// TableName is the name of the table that holds the slots, one row for each pool.
const TableName = "rollout-slots"

const (
	defaultLeaseDuration  = 60 * time.Second
	defaultRetryDelay     = 500 * time.Millisecond
	defaultCommitInterval = 200 * time.Millisecond
	// callQueueSize bounds the calls that wait for a commit; further calls are
	// refused.
	callQueueSize = 256
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Tables platform.Tables
	// MaxUnavailable returns the number of slots of a pool. A result below 1 counts
	// as 1.
	MaxUnavailable func(core.PoolName) int
	// LeaseDuration is how long a slot stays held without renewal.
	LeaseDuration time.Duration
	// RetryDelay is the retry delay that is sent with a refusal.
	RetryDelay time.Duration
	// CommitInterval is the minimum time between two batches of commits.
	CommitInterval time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

func (c *ServerConfig) applyDefaults() error {
	if c.Tables == nil || c.MaxUnavailable == nil {
		return errors.New("rollout: Tables and MaxUnavailable are required")
	}
	if c.LeaseDuration < 0 || c.RetryDelay < 0 || c.CommitInterval < 0 {
		return fmt.Errorf("rollout: LeaseDuration %v, RetryDelay %v and CommitInterval %v must not be negative", c.LeaseDuration, c.RetryDelay, c.CommitInterval)
	}
	if c.LeaseDuration == 0 {
		c.LeaseDuration = defaultLeaseDuration
	}
	if c.RetryDelay == 0 {
		c.RetryDelay = defaultRetryDelay
	}
	if c.CommitInterval == 0 {
		c.CommitInterval = defaultCommitInterval
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return nil
}

// Server answers KindActivate calls. The slots of a pool are stored in a row of the
// table service and changed by compare-and-set, so that concurrent servers never
// grant more slots than the pool has. Calls for a pool that arrive in the same
// CommitInterval share one commit.
type Server struct {
	config ServerConfig
	queue  chan pendingCall

	mu sync.Mutex
	// firstSeen is when this server first read each renewal of a held slot.
	firstSeen map[slotRenewal]time.Time
}

// pendingCall is a request that waits for the commit of its batch.
type pendingCall struct {
	request wire.SlotRequest
	granted chan bool
}

// slotRenewal is one renewal of one slot of a pool.
type slotRenewal struct {
	pool core.PoolName
	slot slot
}

// NewServer returns a server. It answers calls only while Run is running.
func NewServer(config ServerConfig) (*Server, error) {
	if err := config.applyDefaults(); err != nil {
		return nil, err
	}
	return &Server{
		config:    config,
		queue:     make(chan pendingCall, callQueueSize),
		firstSeen: map[slotRenewal]time.Time{},
	}, nil
}

// Register registers the handler of KindActivate calls at peer.
func (s *Server) Register(peer *wire.Endpoint) {
	peer.Handle(wire.KindActivate, func(ctx context.Context, stream *wire.Stream) error {
		var request wire.SlotRequest
		if err := stream.Recv(&request); err != nil {
			return err
		}
		reply := s.Handle(ctx, request)
		return stream.Send(reply)
	})
}

// Handle decides one request. It refuses the request if the queue is full, the
// commit fails or ctx ends. It is safe for concurrent use.
func (s *Server) Handle(ctx context.Context, request wire.SlotRequest) wire.SlotReply {
	refused := wire.SlotReply{RetryAfterMillis: s.config.RetryDelay.Milliseconds()}
	pending := pendingCall{request: request, granted: make(chan bool, 1)}
	select {
	case s.queue <- pending:
	default:
		return refused
	}
	select {
	case granted := <-pending.granted:
		if granted {
			return wire.SlotReply{Granted: true, LeaseMillis: s.config.LeaseDuration.Milliseconds()}
		}
	case <-ctx.Done():
	}
	return refused
}

// Run commits batches of requests until ctx ends. It returns nil.
func (s *Server) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-s.queue:
			s.handleBatch(ctx, s.drainQueue(first))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(s.config.CommitInterval):
		}
	}
}

// drainQueue returns first and all calls that are queued now.
func (s *Server) drainQueue(first pendingCall) []pendingCall {
	calls := []pendingCall{first}
	for {
		select {
		case next := <-s.queue:
			calls = append(calls, next)
		default:
			return calls
		}
	}
}

func (s *Server) handleBatch(ctx context.Context, batch []pendingCall) {
	callsByPool := map[core.PoolName][]pendingCall{}
	for _, pending := range batch {
		callsByPool[pending.request.Pool] = append(callsByPool[pending.request.Pool], pending)
	}
	for pool, poolCalls := range callsByPool {
		granted, err := s.commit(ctx, pool, poolCalls)
		for i, pending := range poolCalls {
			pending.granted <- err == nil && granted[i]
		}
	}
}

// commit decides the calls for one pool in order and commits the new row. The calls
// are granted only if the error is nil.
func (s *Server) commit(ctx context.Context, pool core.PoolName, calls []pendingCall) ([]bool, error) {
	key := platform.RowKey{Table: TableName, Key: string(pool)}
	row, version, err := s.readRow(ctx, key)
	if err != nil {
		return nil, err
	}
	next := s.dropExpired(pool, row)
	limit := max(1, s.config.MaxUnavailable(pool))
	granted := make([]bool, len(calls))
	for i, pending := range calls {
		next, granted[i] = applyRequest(next, pending.request, limit)
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

func applyRequest(row poolRow, request wire.SlotRequest, limit int) (poolRow, bool) {
	if request.Op == wire.SlotRelease {
		return row.release(request.Instance, request.Incarnation), true
	}
	return row.acquire(slot{Instance: request.Instance, Incarnation: request.Incarnation, Root: request.Root}, limit)
}

func (s *Server) readRow(ctx context.Context, key platform.RowKey) (poolRow, uint64, error) {
	var row poolRow
	rows, err := s.config.Tables.Get(ctx, key)
	if err != nil || len(rows) == 0 {
		return row, 0, err
	}
	if err := cbor.Unmarshal(rows[0].Value, &row); err != nil {
		return row, 0, core.Wrap(err, core.CodeUnreadableRow, core.ExecutionNotRun, "decode slot row %s", key.Key)
	}
	return row, rows[0].Version, nil
}

// dropExpired returns row without the slots that were not renewed for longer than
// LeaseDuration since this server first read them. Only the clock of this server is
// used.
func (s *Server) dropExpired(pool core.PoolName, row poolRow) poolRow {
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	next := poolRow{Renewals: row.Renewals}
	current := map[slotRenewal]bool{}
	for _, held := range row.Slots {
		renewal := slotRenewal{pool: pool, slot: held}
		current[renewal] = true
		seenSince, known := s.firstSeen[renewal]
		if !known {
			s.firstSeen[renewal] = now
		}
		if known && now.Sub(seenSince) > s.config.LeaseDuration {
			continue
		}
		next.Slots = append(next.Slots, held)
	}
	for renewal := range s.firstSeen {
		if renewal.pool == pool && !current[renewal] {
			delete(s.firstSeen, renewal)
		}
	}
	return next
}
