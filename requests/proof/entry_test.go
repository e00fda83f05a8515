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

// fakeEntry is one entry process with its real queue, placer, ledger and
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

func (e *fakeEntry) dead() <-chan struct{} { return e.killed.Done() }

func (c *cluster) entry(name string) *fakeEntry { return c.entryIn(name, "north") }

func (c *cluster) entryIn(name string, dc core.DataCentre) *fakeEntry {
	e := &fakeEntry{cluster: c, id: core.InstanceID(name)}
	e.killed, e.kill = context.WithCancel(c.down)
	placer := placement.New(placement.Config{Entry: e.id, DataCentre: dc, Region: "r", RampDuration: 5 * time.Second})
	candidates := func(core.PoolName) []placement.Candidate { return c.candidates() }
	e.queue = fair.New(fair.Config{
		Capacity:     func() int { return placer.Capacity(time.Now(), pinned, c.candidates()) },
		UpdatePeriod: c.tick,
	})
	e.ledger = ledger.New(ledger.Config{Tables: &entryStore{store: c.store, entry: e}, Entry: name})
	e.Dispatcher = dispatch.New(dispatch.Config{
		Attempts:   attempt.NewGenerator(e.id, 1),
		Queue:      func(core.PoolName) *fair.Queue { return e.queue },
		Placer:     func(core.PoolName) *placement.Placer { return placer },
		Candidates: candidates,
		Ledger:     e.ledger,
		Sender:     &network{entry: e},
		// The fake engine begins to answer at once.
		StartTimeout: 500 * time.Millisecond,
	})
	go func() { _ = e.queue.Run(c.down) }()
	go func() { _ = e.ledger.Run(c.down) }()
	return e
}

// entryStore is the store as one entry reaches it. A dead entry reaches
// nothing.
type entryStore struct {
	*store
	entry *fakeEntry
}

func (s *entryStore) Commit(ctx context.Context, txn platform.Transaction) error {
	if s.entry.killed.Err() != nil {
		<-s.entry.cluster.down.Done()
		return errBroken
	}
	err := s.store.Commit(ctx, txn)
	for _, put := range txn.Puts {
		if err == nil && put.Table == ledger.ClaimsTable {
			s.entry.cluster.at(s.stepOf(txn), s.entry, nil)
		}
	}
	if s.entry.killed.Err() != nil {
		<-s.entry.cluster.down.Done()
	}
	return err
}

// stepOf tells a claim, which has a precondition, from a result.
func (s *entryStore) stepOf(txn platform.Transaction) step {
	if len(txn.Preconditions) > 0 {
		return stepClaimed
	}
	return stepWritten
}

// sink records an answer.
type sink struct {
	bytes.Buffer
	weights core.Digest
	begins  int
}

// Begin implements dispatch.Sink.
func (s *sink) Begin(_ string, weights core.Digest) error {
	s.begins++
	s.weights = weights
	return nil
}
