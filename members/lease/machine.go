package lease

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// row is the content of a lease's row.
type row struct {
	Holder string            `cbor:"1,keyasint"`
	Fence  core.FencingToken `cbor:"2,keyasint"`
	// Write is unique for each write, so that a lost answer can be read back.
	Write uint64 `cbor:"3,keyasint"`
	// TermMillis is the longest term of any holder that may still act, in
	// milliseconds.
	TermMillis int64 `cbor:"4,keyasint"`
	// Released says that no holder may act any more.
	Released bool `cbor:"5,keyasint,omitempty"`
}

func (r row) term() time.Duration { return time.Duration(r.TermMillis) * time.Millisecond }

// stored is a row with its version; version 0 means that there is none.
type stored struct {
	row
	version uint64
}

func decode(rows []platform.Row, key platform.RowKey) (stored, error) {
	for _, candidate := range rows {
		if candidate.Table != key.Table || candidate.Key != key.Key {
			continue
		}
		found := stored{version: candidate.Version}
		if err := cbor.Unmarshal(candidate.Value, &found.row); err != nil {
			return stored{}, core.Wrap(err, core.CodeUnreadableRow, core.ExecutionNotRun, "lease row %q", key.Key)
		}
		return found, nil
	}
	return stored{}, nil
}

// machine is the state of one holder. It is pure: it has no clock and does no
// I/O.
type machine struct {
	holder string
	ttl    time.Duration
	margin time.Duration

	held  bool
	fence core.FencingToken
	// validUntil is when the holder must stop acting.
	validUntil time.Time
	// clearAt is when every earlier holder surely stopped acting.
	clearAt time.Time
}

// propose returns the row to write over what the store holds now. It reports
// false when the holder was replaced and must acquire anew.
func (m *machine) propose(current stored, write uint64) row {
	next := row{Holder: m.holder, Fence: current.Fence, Write: write, TermMillis: m.ttl.Milliseconds()}
	if current.version == 0 || current.Holder != m.holder || current.Released {
		next.Fence++
	}
	if !current.Released {
		next.TermMillis = max(next.TermMillis, current.TermMillis)
	}
	return next
}

// acquired records a write that took effect. sentAt is when the transaction
// was sent, doneAt when its effect was known.
func (m *machine) acquired(sentAt, doneAt time.Time, previous stored, written row) {
	if written.Fence != m.fence || !m.held {
		m.clearAt = doneAt
		if previous.version != 0 && !previous.Released {
			m.clearAt = doneAt.Add(previous.term() + m.margin)
		}
	}
	m.held = true
	m.fence = written.Fence
	m.validUntil = sentAt.Add(m.ttl - m.margin)
}

// lost records that another holder took over, or that this one gave up.
func (m *machine) lost() {
	m.held = false
	m.validUntil = time.Time{}
}

// check returns an error unless the holder may act now.
func (m *machine) check(now time.Time) error {
	if !m.held {
		return core.NewRefusal(core.CodeFenced, 0, "lease is not held by %q", m.holder)
	}
	if !now.Before(m.validUntil) {
		return core.NewRefusal(core.CodeFenced, 0, "lease of %q ended %s ago", m.holder, now.Sub(m.validUntil))
	}
	return nil
}

// waitOut is how long orders to a server that ignores fencing tokens must
// still wait.
func (m *machine) waitOut(now time.Time) time.Duration {
	return max(m.clearAt.Sub(now), 0)
}

// renewable reports whether the lease is due for renewal.
func (m *machine) renewable(now time.Time) bool {
	return !m.held || m.validUntil.Sub(now) < m.ttl/2
}
