package lease

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// leaseRow is the stored value of a lease.
type leaseRow struct {
	Holder string            `cbor:"1,keyasint"`
	Fence  core.FencingToken `cbor:"2,keyasint"`
	// WriteID is unique for each write, so that a later read shows whether a
	// write whose reply was lost took effect.
	WriteID uint64 `cbor:"3,keyasint"`
	// TermMillis is the longest term of any holder that may still send
	// commands, in milliseconds.
	TermMillis int64 `cbor:"4,keyasint"`
	// Released reports that no holder may send commands any more.
	Released bool `cbor:"5,keyasint,omitempty"`
}

func (r leaseRow) term() time.Duration { return time.Duration(r.TermMillis) * time.Millisecond }

// storedRow is a lease row with its version. Version 0 means that the row does
// not exist.
type storedRow struct {
	leaseRow
	version uint64
}

func decodeRow(rows []platform.Row, key platform.RowKey) (storedRow, error) {
	for _, candidate := range rows {
		if candidate.Table != key.Table || candidate.Key != key.Key {
			continue
		}
		found := storedRow{version: candidate.Version}
		if err := cbor.Unmarshal(candidate.Value, &found.leaseRow); err != nil {
			return storedRow{}, core.Wrap(err, core.CodeUnreadableRow, core.ExecutionNotRun, "decode lease row %q", key.Key)
		}
		return found, nil
	}
	return storedRow{}, nil
}

// holderState is the lease state of one holder. It is deterministic: it has no
// clock and does no I/O.
type holderState struct {
	holder string
	ttl    time.Duration
	margin time.Duration

	held  bool
	fence core.FencingToken
	// validUntil is when the holder must stop sending commands.
	validUntil time.Time
	// earlierExpiredAt is when the terms of all earlier holders have certainly
	// expired.
	earlierExpiredAt time.Time
}

// nextRow returns the row that claims or renews the lease in place of current.
// The fencing token grows unless this holder has the lease already.
func (s *holderState) nextRow(current storedRow, writeID uint64) leaseRow {
	next := leaseRow{Holder: s.holder, Fence: current.Fence, WriteID: writeID, TermMillis: s.ttl.Milliseconds()}
	if current.version == 0 || current.Holder != s.holder || current.Released {
		next.Fence++
	}
	if !current.Released {
		next.TermMillis = max(next.TermMillis, current.TermMillis)
	}
	return next
}

// recordWrite records a write that took effect. sentAt is when the transaction
// was sent, confirmedAt when its effect was confirmed.
func (s *holderState) recordWrite(sentAt, confirmedAt time.Time, previous storedRow, written leaseRow) {
	if written.Fence != s.fence || !s.held {
		s.earlierExpiredAt = confirmedAt
		if previous.version != 0 && !previous.Released {
			s.earlierExpiredAt = confirmedAt.Add(previous.term() + s.margin)
		}
	}
	s.held = true
	s.fence = written.Fence
	s.validUntil = sentAt.Add(s.ttl - s.margin)
}

// markLost records that another holder has taken the lease or that this holder
// has released it.
func (s *holderState) markLost() {
	s.held = false
	s.validUntil = time.Time{}
}

// checkHeld returns an error unless the holder may send commands at now.
func (s *holderState) checkHeld(now time.Time) error {
	if !s.held {
		return core.NewRefusal(core.CodeFenced, 0, "lease is not held by %q", s.holder)
	}
	if !now.Before(s.validUntil) {
		return core.NewRefusal(core.CodeFenced, 0, "lease of %q expired %s ago", s.holder, now.Sub(s.validUntil))
	}
	return nil
}

// earlierHolderWait returns how long commands to a server that ignores fencing
// tokens must still be delayed.
func (s *holderState) earlierHolderWait(now time.Time) time.Duration {
	return max(s.earlierExpiredAt.Sub(now), 0)
}

// needsRenewal reports whether the lease must be acquired or is due for
// renewal.
func (s *holderState) needsRenewal(now time.Time) bool {
	return !s.held || s.validUntil.Sub(now) < s.ttl/2
}
