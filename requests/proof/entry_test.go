package proof

import (
	"bytes"
	"context"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/requests/attempt"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/fair"
	"currantusher.dev/requests/ledger"
	"currantusher.dev/requests/placement"
)

// fakeEntry is an entry process with a real queue, placer, ledger and
// dispatcher.
type fakeEntry struct {
	cluster *cluster
	id      core.InstanceID
	killed  context.Context
	kill    context.CancelFunc
	queue   *fair.Queue
	ledger  *ledger.Ledger
	*dispatch.Dispatcher
}

func (e *fakeEntry) killedCh() <-chan struct{} { return e.killed.Done() }

func (c *cluster) newEntry(name string) *fakeEntry { return c.newEntryIn(name, "north") }

func (c *cluster) newEntryIn(name string, dc core.DataCentre) *fakeEntry {
	e := &fakeEntry{cluster: c, id: core.InstanceID(name)}
	e.killed, e.kill = context.WithCancel(c.shutdownCtx)
	placer := placement.New(placement.Config{Entry: e.id, DataCentre: dc, Region: "r", RampDuration: 5 * time.Second})
	candidates := func(core.PoolName) []placement.Candidate { return c.candidates() }
	e.queue = fair.New(fair.Config{
		Capacity:     func() int { return placer.Capacity(time.Now(), testWeights, c.candidates()) },
		UpdatePeriod: c.queueTick,
	})
	e.ledger = ledger.New(ledger.Config{Tables: &entryStore{store: c.store, entry: e}, Entry: name})
	e.Dispatcher = dispatch.New(dispatch.Config{
		Attempts:   attempt.NewGenerator(e.id, 1),
		Queue:      func(core.PoolName) *fair.Queue { return e.queue },
		Placer:     func(core.PoolName) *placement.Placer { return placer },
		Candidates: candidates,
		Ledger:     e.ledger,
		Sender:     &fakeTransport{entry: e},
		// The fake engine starts to answer immediately.
		StartTimeout: 500 * time.Millisecond,
	})
	go func() { _ = e.queue.Run(c.shutdownCtx) }()
	go func() { _ = e.ledger.Run(c.shutdownCtx) }()
	return e
}

// entryStore is the store as seen by one entry. The calls of a killed entry
// block until the end of the test.
type entryStore struct {
	*store
	entry *fakeEntry
}

func (s *entryStore) Commit(ctx context.Context, txn platform.Transaction) error {
	if s.entry.killed.Err() != nil {
		<-s.entry.cluster.shutdownCtx.Done()
		return errCallBroken
	}
	err := s.store.Commit(ctx, txn)
	for _, put := range txn.Puts {
		if err == nil && put.Table == ledger.ClaimsTable {
			s.entry.cluster.reachStep(s.commitStep(txn), s.entry, nil)
		}
	}
	if s.entry.killed.Err() != nil {
		<-s.entry.cluster.shutdownCtx.Done()
	}
	return err
}

// commitStep distinguishes the commit of a claim, which has a precondition, from
// that of a result.
func (s *entryStore) commitStep(txn platform.Transaction) step {
	if len(txn.Preconditions) > 0 {
		return stepClaimed
	}
	return stepWritten
}

// recordingSink records an answer.
type recordingSink struct {
	bytes.Buffer
	weights    core.Digest
	beginCalls int
}

// Begin implements dispatch.Sink.
func (s *recordingSink) Begin(_ string, weights core.Digest) error {
	s.beginCalls++
	s.weights = weights
	return nil
}
