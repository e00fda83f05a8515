package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"currantusher.dev/core/fleet"
)

// MaxRecordBytes bounds an encoded Record that is believed. One with maxRivals traits of the
// longest identifiers is smaller.
const MaxRecordBytes = 16 << 10

// errInvalidRecord means that a record can be decoded but describes no quarantine.
var errInvalidRecord = errors.New("the record describes no quarantine")

// Record is a quarantine as it is stored outside the entries. Times are those of the store's
// steady clock in milliseconds.
type Record struct {
	Trait      fleet.Trait   `cbor:"1,keyasint"`
	Generation uint32        `cbor:"2,keyasint"`
	DecidedMs  int64         `cbor:"3,keyasint"`
	Crashes    int           `cbor:"4,keyasint,omitempty"`
	With       []fleet.Trait `cbor:"5,keyasint,omitempty"`
	Released   bool          `cbor:"6,keyasint,omitempty"`
	ReleasedMs int64         `cbor:"7,keyasint,omitempty"`
	// Lifted means that an operator has released the trait, which refutes the evidence so far.
	Lifted bool `cbor:"8,keyasint,omitempty"`
}

// RecordKey returns the key under which the record of a trait is stored. It does not depend
// on the length of the trait's identifier.
func RecordKey(t fleet.Trait) string {
	sum := sha256.Sum256([]byte(string(t.Model) + "\x00" + t.ID))
	return hex.EncodeToString(sum[:16])
}

// Encode returns the record in CBOR.
func (r Record) Encode() ([]byte, error) {
	value, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record of a quarantine: %w", err)
	}
	return value, nil
}

// DecodeRecord returns the record that is stored under a key. It returns an error if the value
// cannot be decoded or belongs to another key.
func DecodeRecord(key string, value []byte) (Record, error) {
	var r Record
	if len(value) > MaxRecordBytes {
		return Record{}, fmt.Errorf("%w: it has %d bytes", errInvalidRecord, len(value))
	}
	if err := cbor.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("decode record of a quarantine: %w", err)
	}
	if r.Trait.ID == "" || r.Generation == 0 || len(r.With) > maxRivals || RecordKey(r.Trait) != key {
		return Record{}, errInvalidRecord
	}
	return r, nil
}

// Lift returns the record as an operator releases it.
func (r Record) Lift(storeMs int64) Record {
	r.Released, r.Lifted, r.ReleasedMs = true, true, storeMs
	return r
}

// IsActive reports whether requests with the trait are refused at a time of the store.
func (r Record) IsActive(storeMs int64) bool { return r.Left(storeMs) > 0 }

// Left returns the time until the end of the quarantine, or 0 if it has ended.
func (r Record) Left(storeMs int64) time.Duration {
	now := time.UnixMilli(storeMs)
	q := r.quarantine(now, storeMs)
	if !q.isActive(now) {
		return 0
	}
	return q.end().Sub(now)
}

// IsExpired reports whether the record has no effect any more at a time of the store.
func (r Record) IsExpired(storeMs int64) bool {
	now := time.UnixMilli(storeMs)
	return r.quarantine(now, storeMs).isExpired(now)
}

// quarantine returns what the record says, in times of a Set whose time is now when the store's
// is storeMs. Times that the store has not reached yet count as now, so that no quarantine
// lasts longer than its period, whatever the clocks do.
func (r Record) quarantine(now time.Time, storeMs int64) *quarantine {
	local := func(ms int64) time.Time { return now.Add(-ageOf(ms, storeMs)) }
	q := &quarantine{
		generation: r.Generation, with: r.With, decidedAt: local(r.DecidedMs), crashes: r.Crashes, released: r.Released, lifted: r.Lifted,
	}
	if r.Released {
		q.releasedAt = local(r.ReleasedMs)
	}
	return q
}

// maxRecordAge is an age at which every record is expired. It keeps the difference of two
// arbitrary times within a time.Duration.
const maxRecordAge = 24 * time.Hour

func ageOf(ms, storeMs int64) time.Duration {
	if ms >= storeMs {
		return 0
	}
	age := uint64(storeMs) - uint64(ms)
	return time.Duration(min(age, uint64(maxRecordAge.Milliseconds()))) * time.Millisecond
}

// record returns the record of a quarantine.
func (q *quarantine) record(trait fleet.Trait, now time.Time, storeMs int64) Record {
	r := Record{
		Trait: trait, Generation: q.generation, DecidedMs: storeMs - now.Sub(q.decidedAt).Milliseconds(), Crashes: q.crashes, With: q.with,
		Released: q.released, Lifted: q.lifted,
	}
	if q.released {
		r.ReleasedMs = storeMs - now.Sub(q.releasedAt).Milliseconds()
	}
	return r
}

// finishedAt returns when requests with the trait were no longer refused.
func (q *quarantine) finishedAt() time.Time {
	if q.released {
		return q.releasedAt
	}
	return q.end()
}

// saysMore reports whether q tells more than a stored quarantine of the same trait.
func (q *quarantine) saysMore(stored *quarantine) bool {
	switch {
	case q.generation != stored.generation:
		return q.generation > stored.generation
	case q.released != stored.released:
		return q.released
	case q.lifted != stored.lifted:
		return q.lifted
	default:
		return !q.released && len(q.with) < len(stored.with)
	}
}
