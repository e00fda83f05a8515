// Package rollout limits how many instances of a pool activate a version of the
// weights at the same time. An instance holds a slot during the activation.
package rollout

import (
	"currantusher.dev/core"
)

// slot is a held slot: one activation in progress.
type slot struct {
	Instance    core.InstanceID  `cbor:"1,keyasint"`
	Incarnation core.Incarnation `cbor:"2,keyasint"`
	Root        core.Digest      `cbor:"3,keyasint"`
	// Renewal is different for each renewal in the pool, so that a server detects
	// whether the slot is still renewed without comparing clocks.
	Renewal uint64 `cbor:"4,keyasint"`
}

// poolRow is the value of the row of one pool.
type poolRow struct {
	Slots []slot `cbor:"1,keyasint"`
	// Renewals counts the acquisitions and renewals of all slots.
	Renewals uint64 `cbor:"2,keyasint"`
}

// acquire returns the row with the wanted slot acquired or renewed. It reports
// false if limit slots are held, or if a later incarnation of the instance holds a
// slot.
func (r poolRow) acquire(wanted slot, limit int) (poolRow, bool) {
	next := poolRow{Slots: append([]slot(nil), r.Slots...), Renewals: r.Renewals + 1}
	wanted.Renewal = next.Renewals
	for i, held := range next.Slots {
		if held.Instance != wanted.Instance {
			continue
		}
		if held.Incarnation > wanted.Incarnation {
			return r, false
		}
		next.Slots[i] = wanted
		return next, true
	}
	if len(next.Slots) >= limit {
		return r, false
	}
	next.Slots = append(next.Slots, wanted)
	return next, true
}

// release returns the row without the slot that incarnation, or an earlier one, of
// the instance holds.
func (r poolRow) release(instance core.InstanceID, incarnation core.Incarnation) poolRow {
	next := poolRow{Renewals: r.Renewals}
	for _, held := range r.Slots {
		if held.Instance == instance && held.Incarnation <= incarnation {
			continue
		}
		next.Slots = append(next.Slots, held)
	}
	return next
}
