package spread

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"currantusher.dev/core"
	"currantusher.dev/tables"
	"currantusher.dev/wire"
)

// errBusy is the outcome of an action for which no worker was free.
var errBusy = errors.New("no worker is free")

type gauges struct {
	revision metrics.Gauge
	age      metrics.Gauge
	faults   metrics.Gauge
	reverted metrics.Counter
	pulls    metrics.Counter
	failed   metrics.Counter
}

func newGauges(registry metrics.Registry) gauges {
	return gauges{
		revision: metrics.GetOrRegisterGauge("config.revision", registry),
		age:      metrics.GetOrRegisterGauge("config.age_millis", registry),
		faults:   metrics.GetOrRegisterGauge("config.row_faults", registry),
		reverted: metrics.GetOrRegisterCounter("config.reverted_answers", registry),
		pulls:    metrics.GetOrRegisterCounter("config.pulls", registry),
		failed:   metrics.GetOrRegisterCounter("config.pulls_failed", registry),
	}
}

// encoder keeps the encoding of the newest configuration sent.
type encoder struct {
	revision core.Revision
	rows     []byte
}

func (e *encoder) encode(config *tables.Config) ([]byte, error) {
	if e.rows != nil && e.revision == config.Revision() {
		return e.rows, nil
	}
	rows, err := cbor.Marshal(config.Rows())
	if err != nil {
		return nil, err
	}
	e.revision = config.Revision()
	e.rows = rows
	return rows, nil
}

func decodeConfig(content []byte) (*tables.Config, error) {
	var rows tables.Rows
	if err := cbor.Unmarshal(content, &rows); err != nil {
		return nil, core.Wrap(err, core.CodeUnreadableRow, core.ExecutionNotRun, "encoded rows")
	}
	return tables.Compile(rows)
}

// dispatch hands an action to its duty. It never blocks: an action for which
// there is no room fails at once.
func (m *Manager) dispatch(ctx context.Context, action Action) {
	switch a := action.(type) {
	case Adopt:
		m.signalAdopted()
		m.log.WithField("revision", a.Config.Revision()).Info("Revision in force.")
	case Report:
		m.report(a)
	case Answer:
		m.deliver(a)
	case ReadHead:
		offer(m.heads, a)
	case PullFrom:
		m.dispatchPull(ctx, a)
	case PushTo:
		offer(m.side, action)
	default:
		offer(m.loads, action)
	}
}

func offer[T any](queue chan T, item T) bool {
	select {
	case queue <- item:
		return true
	default:
		return false
	}
}

func (m *Manager) dispatchPull(ctx context.Context, a PullFrom) {
	if a.Parent && offer(m.parents, a) {
		return
	}
	if !a.Parent && offer(m.side, Action(a)) {
		return
	}
	failed := Pulled{SentAt: time.Now(), From: a.To, Parent: a.Parent, Err: errBusy}
	for _, next := range m.state.Pulled(time.Now(), failed) {
		m.dispatch(ctx, next)
	}
}

func (m *Manager) report(r Report) {
	if r.Code == core.CodeRevisionReverted {
		m.gauges.reverted.Inc(1)
	}
	m.log.WithField("code", r.Code.String()).Warn(r.Detail)
}

func (m *Manager) deliver(a Answer) {
	if a.Config != nil {
		rows, err := m.encoded.encode(a.Config)
		if err != nil {
			m.log.WithError(err).Error("Rows cannot be encoded.")
			return
		}
		a.Reply.Rows = rows
	}
	m.mu.Lock()
	reply := m.waiting[a.Token]
	m.mu.Unlock()
	if reply != nil {
		reply <- a
	}
}

func (m *Manager) readHeads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.heads:
		}
		sent := time.Now()
		bounded, cancel := context.WithTimeout(ctx, headTimeout)
		revision, err := m.config.Loader.Head(bounded)
		cancel()
		read := HeadRead{SentAt: sent, Revision: revision, Err: err}
		m.post(ctx, func(s *State, now time.Time) []Action { return s.HeadRead(now, read) })
	}
}

func (m *Manager) runLoads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case action := <-m.loads:
			bounded, cancel := context.WithTimeout(ctx, loadTimeout)
			m.runLoad(ctx, bounded, action)
			cancel()
		}
	}
}

func (m *Manager) runLoad(ctx, bounded context.Context, action Action) {
	switch a := action.(type) {
	case Load:
		loaded := m.load(bounded)
		m.post(ctx, func(s *State, now time.Time) []Action { return s.Loaded(now, loaded) })
	case Absorb:
		faults, err := m.config.Loader.Absorb(bounded)
		if err != nil {
			m.log.WithError(err).Warn("Direct edits were not looked for.")
			return
		}
		m.setFaults(faults)
	case ReadSnapshot:
		m.readSnapshot(ctx, bounded)
	case SaveSnapshot:
		m.saveSnapshot(bounded, a.Config)
	}
}

func (m *Manager) load(ctx context.Context) Loaded {
	loaded := Loaded{SentAt: time.Now()}
	if m.config.Loader == nil {
		loaded.Err = core.NewRefusal(core.CodeStoreUnavailable, 0, "this daemon does not read the table service")
		return loaded
	}
	rows, faults, err := m.config.Loader.Load(ctx)
	if err == nil {
		m.setFaults(faults)
		loaded.Config, err = tables.Compile(rows)
	}
	loaded.Err = err
	return loaded
}

func (m *Manager) setFaults(faults []tables.RowFault) {
	m.mu.Lock()
	known := make(map[tables.RowFault]bool, len(m.faults))
	for _, fault := range m.faults {
		known[fault] = true
	}
	m.faults = faults
	m.mu.Unlock()
	m.gauges.faults.Update(int64(len(faults)))
	for _, fault := range faults {
		if !known[fault] {
			m.log.WithField("code", fault.Code.String()).Warnf("Row %s %q is not in force: %s.", fault.Table, fault.Key, fault.Detail)
		}
	}
}

func (m *Manager) readSnapshot(ctx, bounded context.Context) {
	if m.config.Objects == nil {
		return
	}
	content, err := m.config.Objects.GetObject(bounded, snapshotName)
	if err != nil {
		return
	}
	config, err := decodeConfig(content)
	if err != nil {
		m.log.WithError(err).Warn("Snapshot is unreadable.")
		return
	}
	m.post(ctx, func(s *State, now time.Time) []Action { return s.SnapshotRead(now, config) })
}

func (m *Manager) saveSnapshot(ctx context.Context, config *tables.Config) {
	if m.config.Objects == nil {
		return
	}
	content, err := cbor.Marshal(config.Rows())
	if err == nil {
		err = m.config.Objects.PutObject(ctx, snapshotName, content)
	}
	if err != nil {
		m.log.WithError(err).Warn("Snapshot was not saved.")
	}
}

// pullParents carries out the parent loop on one stream to each parent in
// turn.
func (m *Manager) pullParents(ctx context.Context) {
	var session session
	defer session.close()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-m.parents:
			m.pull(ctx, a, session.call)
		}
	}
}

// runSide carries out pulls outside the parent loop, and pushes.
func (m *Manager) runSide(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case action := <-m.side:
			switch a := action.(type) {
			case PullFrom:
				m.pull(ctx, a, wire.Call[wire.ConfigPullReply])
			case PushTo:
				m.push(ctx, a)
			}
		}
	}
}

// caller sends a pull and receives its reply.
type caller func(ctx context.Context, p *wire.Endpoint, addr string, kind wire.Kind, request any) (wire.ConfigPullReply, error)

func (m *Manager) pull(ctx context.Context, a PullFrom, call caller) {
	bounded, cancel := context.WithTimeout(ctx, a.Wait+pullGrace)
	defer cancel()
	var own core.Revision
	if config := m.Current(); config != nil {
		own = config.Revision()
	}
	pulled := Pulled{SentAt: time.Now(), From: a.To, Parent: a.Parent}
	request := wire.ConfigPull{
		From:       m.config.Self.ID,
		Addr:       m.config.Self.Addr,
		Revision:   own,
		WaitMillis: a.Wait.Milliseconds(),
	}
	m.gauges.pulls.Inc(1)
	pulled.Reply, pulled.Err = call(bounded, m.config.Peer, a.To.Addr, wire.KindConfigPull, request)
	if pulled.Err == nil && len(pulled.Reply.Rows) > 0 {
		pulled.Config, pulled.Err = decodeConfig(pulled.Reply.Rows)
	}
	if pulled.Err != nil {
		m.gauges.failed.Inc(1)
	}
	m.post(ctx, func(s *State, now time.Time) []Action { return s.Pulled(now, pulled) })
}

func (m *Manager) push(ctx context.Context, a PushTo) {
	bounded, cancel := context.WithTimeout(ctx, pullGrace)
	defer cancel()
	push := wire.ConfigPush{From: m.config.Self.ID, Addr: m.config.Self.Addr, Revision: a.Revision}
	_, err := wire.Call[wire.ConfigPushReply](bounded, m.config.Peer, a.To.Addr, wire.KindConfigPush, push)
	if err != nil {
		m.log.WithError(err).Debugf("Push to %s failed.", a.To.ID)
	}
}

// servePull answers a peer's pulls until it ends the stream.
func (m *Manager) servePull(ctx context.Context, stream *wire.Stream) error {
	for {
		var pull wire.ConfigPull
		if err := stream.Recv(&pull); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if err := m.answerPull(ctx, stream, pull); err != nil {
			return err
		}
	}
}

func (m *Manager) answerPull(ctx context.Context, stream *wire.Stream, pull wire.ConfigPull) error {
	token, reply := m.await()
	defer m.forget(token)
	m.post(ctx, func(s *State, now time.Time) []Action {
		return s.PullAsked(now, PullAsked{Token: token, Pull: pull})
	})
	limit := time.NewTimer(m.config.Timing.Wait + pullGrace)
	defer limit.Stop()
	select {
	case answer := <-reply:
		return stream.Send(answer.Reply)
	case <-ctx.Done():
		return ctx.Err()
	case <-limit.C:
		return context.DeadlineExceeded
	}
}

func (m *Manager) await() (uint64, chan Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tokens++
	reply := make(chan Answer, 1)
	m.waiting[m.tokens] = reply
	return m.tokens, reply
}

func (m *Manager) forget(token uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiting, token)
}

// servePush takes a peer's announcement.
func (m *Manager) servePush(ctx context.Context, stream *wire.Stream) error {
	var push wire.ConfigPush
	if err := stream.Recv(&push); err != nil {
		return err
	}
	m.post(ctx, func(s *State, now time.Time) []Action { return s.PushReceived(now, push) })
	var own core.Revision
	if config := m.Current(); config != nil {
		own = config.Revision()
	}
	return stream.Send(wire.ConfigPushReply{Revision: own})
}
