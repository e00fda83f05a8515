// Package rollout bounds how many instances of a pool activate a version at
// once.
package rollout

import (
	"currantusher.dev/core"
)

// slot is one activation in progress.
type slot struct {
	Instance    core.InstanceID  `cbor:"1,keyasint"`
	Incarnation core.Incarnation `cbor:"2,keyasint"`
	Root        core.Digest      `cbor:"3,keyasint"`
	// Renewal differs for each renewal in the pool, so that an observer sees
	// whether the slot is in use without comparing clocks.
	Renewal uint64 `cbor:"4,keyasint"`
}

// poolRow is the value of one pool's row.
type poolRow struct {
	Slots []slot `cbor:"1,keyasint"`
	// Renewals counts the renewals of all slots.
	Renewals uint64 `cbor:"2,keyasint"`
}

// acquire takes or renews a slot. It reports false when all are taken.
func (r poolRow) acquire(want slot, limit int) (poolRow, bool) {
	next := poolRow{Slots: append([]slot(nil), r.Slots...), Renewals: r.Renewals + 1}
	want.Renewal = next.Renewals
	for i, held := range next.Slots {
		if held.Instance != want.Instance {
			continue
		}
		if held.Incarnation > want.Incarnation {
			return r, false
		}
		next.Slots[i] = want
		return next, true
	}
	if len(next.Slots) >= limit {
		return r, false
	}
	next.Slots = append(next.Slots, want)
	return next, true
}

// release returns the slot of an instance's process, if it holds one.
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
