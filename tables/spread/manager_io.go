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

// errQueueFull is the outcome of a pull whose queue is full.
var errQueueFull = errors.New("pull queue is full")

type instruments struct {
	revision        metrics.Gauge
	age             metrics.Gauge
	rowFaults       metrics.Gauge
	revertedReplies metrics.Counter
	startedPulls    metrics.Counter
	failedPulls     metrics.Counter
}

func newInstruments(registry metrics.Registry) instruments {
	return instruments{
		revision:        metrics.GetOrRegisterGauge("config.revision", registry),
		age:             metrics.GetOrRegisterGauge("config.age_millis", registry),
		rowFaults:       metrics.GetOrRegisterGauge("config.row_faults", registry),
		revertedReplies: metrics.GetOrRegisterCounter("config.reverted_answers", registry),
		startedPulls:    metrics.GetOrRegisterCounter("config.pulls", registry),
		failedPulls:     metrics.GetOrRegisterCounter("config.pulls_failed", registry),
	}
}

// encoder caches the encoded rows of the last configuration sent.
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
		return nil, core.Wrap(err, core.CodeUnreadableRow, core.ExecutionNotRun, "decode configuration rows")
	}
	return tables.Compile(rows)
}

// dispatch passes an action to the goroutine that carries it out. It never
// blocks: if the queue is full, a pull fails immediately and any other action is
// dropped.
func (m *Manager) dispatch(ctx context.Context, action Action) {
	switch a := action.(type) {
	case Adopt:
		m.signalAdoption()
		m.log.WithField("revision", a.Config.Revision()).Info("Revision adopted.")
	case Report:
		m.report(a)
	case SendReply:
		m.deliverReply(a)
	case ReadHead:
		trySend(m.headReads, a)
	case PullFrom:
		m.dispatchPull(ctx, a)
	case PushTo:
		trySend(m.peerCalls, action)
	default:
		trySend(m.storeActions, action)
	}
}

func trySend[T any](queue chan T, item T) bool {
	select {
	case queue <- item:
		return true
	default:
		return false
	}
}

func (m *Manager) dispatchPull(ctx context.Context, a PullFrom) {
	if a.Parent && trySend(m.parentPulls, a) {
		return
	}
	if !a.Parent && trySend(m.peerCalls, Action(a)) {
		return
	}
	failed := Pulled{SentAt: time.Now(), From: a.Peer, Parent: a.Parent, Err: errQueueFull}
	for _, next := range m.state.Pulled(time.Now(), failed) {
		m.dispatch(ctx, next)
	}
}

func (m *Manager) report(r Report) {
	if r.Code == core.CodeRevisionReverted {
		m.instruments.revertedReplies.Inc(1)
	}
	m.log.WithField("code", r.Code.String()).Warn(r.Detail)
}

func (m *Manager) deliverReply(a SendReply) {
	if a.Config != nil {
		rows, err := m.encoder.encode(a.Config)
		if err != nil {
			m.log.WithError(err).Error("Configuration rows cannot be encoded; the pull gets no reply.")
			return
		}
		a.Reply.Rows = rows
	}
	m.mu.Lock()
	reply := m.pendingReplies[a.Token]
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
		case <-m.headReads:
		}
		sentAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, headReadTimeout)
		revision, err := m.config.Loader.Head(callCtx)
		cancel()
		read := HeadRead{SentAt: sentAt, Revision: revision, Err: err}
		m.post(ctx, func(s *State, now time.Time) []Action { return s.HeadRead(now, read) })
	}
}

func (m *Manager) runStoreActions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case action := <-m.storeActions:
			callCtx, cancel := context.WithTimeout(ctx, storeActionTimeout)
			m.runStoreAction(ctx, callCtx, action)
			cancel()
		}
	}
}

func (m *Manager) runStoreAction(ctx, callCtx context.Context, action Action) {
	switch a := action.(type) {
	case LoadRows:
		loaded := m.loadRows(callCtx)
		m.post(ctx, func(s *State, now time.Time) []Action { return s.RowsLoaded(now, loaded) })
	case AcceptDirectEdits:
		faults, err := m.config.Loader.AcceptDirectEdits(callCtx)
		if err != nil {
			m.log.WithError(err).Warn("Direct edits of the tables could not be read or accepted; the next attempt follows shortly.")
			return
		}
		m.setRowFaults(faults)
	case ReadSnapshot:
		m.readSnapshot(ctx, callCtx)
	case SaveSnapshot:
		m.saveSnapshot(callCtx, a.Config)
	}
}

func (m *Manager) loadRows(ctx context.Context) RowsLoaded {
	loaded := RowsLoaded{SentAt: time.Now()}
	if m.config.Loader == nil {
		loaded.Err = core.NewRefusal(core.CodeStoreUnavailable, 0, "this daemon does not read the table service")
		return loaded
	}
	rows, faults, err := m.config.Loader.Load(ctx)
	if err == nil {
		m.setRowFaults(faults)
		loaded.Config, err = tables.Compile(rows)
	}
	loaded.Err = err
	return loaded
}

func (m *Manager) setRowFaults(faults []tables.RowFault) {
	m.mu.Lock()
	known := make(map[tables.RowFault]bool, len(m.rowFaults))
	for _, fault := range m.rowFaults {
		known[fault] = true
	}
	m.rowFaults = faults
	m.mu.Unlock()
	m.instruments.rowFaults.Update(int64(len(faults)))
	for _, fault := range faults {
		if !known[fault] {
			m.log.WithField("code", fault.Code.String()).Warnf("Row %s %q was rejected: %s.", fault.Table, fault.Key, fault.Detail)
		}
	}
}

func (m *Manager) readSnapshot(ctx, callCtx context.Context) {
	if m.config.Objects == nil {
		return
	}
	content, err := m.config.Objects.GetObject(callCtx, snapshotObject)
	if err != nil {
		return
	}
	config, err := decodeConfig(content)
	if err != nil {
		m.log.WithError(err).Warn("Configuration snapshot cannot be decoded and is ignored.")
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
		err = m.config.Objects.PutObject(ctx, snapshotObject, content)
	}
	if err != nil {
		m.log.WithError(err).Warn("Configuration snapshot could not be written.")
	}
}

// runParentPulls carries out the pulls of the parent loop. It keeps one stream
// open to the current parent.
func (m *Manager) runParentPulls(ctx context.Context) {
	var session session
	defer session.close()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-m.parentPulls:
			m.pull(ctx, a, session.call)
		}
	}
}

// runPeerCalls carries out pushes and the pulls outside the parent loop.
func (m *Manager) runPeerCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case action := <-m.peerCalls:
			switch a := action.(type) {
			case PullFrom:
				m.pull(ctx, a, wire.Call[wire.ConfigPullReply])
			case PushTo:
				m.push(ctx, a)
			}
		}
	}
}

// pullFunc sends a pull and returns the reply.
type pullFunc func(ctx context.Context, p *wire.Endpoint, addr string, kind wire.Kind, request any) (wire.ConfigPullReply, error)

func (m *Manager) pull(ctx context.Context, a PullFrom, call pullFunc) {
	callCtx, cancel := context.WithTimeout(ctx, a.Wait+peerCallTimeout)
	defer cancel()
	var ownRevision core.Revision
	if config := m.Current(); config != nil {
		ownRevision = config.Revision()
	}
	pulled := Pulled{SentAt: time.Now(), From: a.Peer, Parent: a.Parent}
	request := wire.ConfigPull{
		From:       m.config.Self.ID,
		Addr:       m.config.Self.Addr,
		Revision:   ownRevision,
		WaitMillis: a.Wait.Milliseconds(),
	}
	m.instruments.startedPulls.Inc(1)
	pulled.Reply, pulled.Err = call(callCtx, m.config.Peer, a.Peer.Addr, wire.KindConfigPull, request)
	if pulled.Err == nil && len(pulled.Reply.Rows) > 0 {
		pulled.Config, pulled.Err = decodeConfig(pulled.Reply.Rows)
	}
	if pulled.Err != nil {
		m.instruments.failedPulls.Inc(1)
	}
	m.post(ctx, func(s *State, now time.Time) []Action { return s.Pulled(now, pulled) })
}

func (m *Manager) push(ctx context.Context, a PushTo) {
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	push := wire.ConfigPush{From: m.config.Self.ID, Addr: m.config.Self.Addr, Revision: a.Revision}
	_, err := wire.Call[wire.ConfigPushReply](callCtx, m.config.Peer, a.Peer.Addr, wire.KindConfigPush, push)
	if err != nil {
		m.log.WithError(err).Debugf("Push to %s failed.", a.Peer.ID)
	}
}

// servePull replies to a peer's pulls until the peer closes the stream.
func (m *Manager) servePull(ctx context.Context, stream *wire.Stream) error {
	for {
		var pull wire.ConfigPull
		if err := stream.Recv(&pull); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if err := m.replyToPull(ctx, stream, pull); err != nil {
			return err
		}
	}
}

func (m *Manager) replyToPull(ctx context.Context, stream *wire.Stream, pull wire.ConfigPull) error {
	token, reply := m.addPendingReply()
	defer m.removePendingReply(token)
	m.post(ctx, func(s *State, now time.Time) []Action {
		return s.PullReceived(now, PullReceived{Token: token, Pull: pull})
	})
	timer := time.NewTimer(m.config.Timing.PullWait + peerCallTimeout)
	defer timer.Stop()
	select {
	case answer := <-reply:
		return stream.Send(answer.Reply)
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return context.DeadlineExceeded
	}
}

func (m *Manager) addPendingReply() (uint64, chan SendReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastToken++
	reply := make(chan SendReply, 1)
	m.pendingReplies[m.lastToken] = reply
	return m.lastToken, reply
}

func (m *Manager) removePendingReply(token uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pendingReplies, token)
}

// servePush processes a peer's announcement of a revision.
func (m *Manager) servePush(ctx context.Context, stream *wire.Stream) error {
	var push wire.ConfigPush
	if err := stream.Recv(&push); err != nil {
		return err
	}
	m.post(ctx, func(s *State, now time.Time) []Action { return s.PushReceived(now, push) })
	var ownRevision core.Revision
	if config := m.Current(); config != nil {
		ownRevision = config.Revision()
	}
	return stream.Send(wire.ConfigPushReply{Revision: ownRevision})
}
