package queuewait

import "time"

// memberTTL is how long an entry of which this entry does not hear may use its share of
// the free slots. It equals gossip.SenderTimeout.
const memberTTL = 20 * time.Second

// division holds the numbers of entries among which this entry recently divided the free
// slots of a server. Other entries may still divide, or already divide, by any of them.
type division struct {
	current, fewest, most int
	changedAt             time.Time
}

func (d *division) observe(now time.Time, entries int) {
	if entries <= 0 {
		return
	}
	d.expire(now)
	if d.current == 0 {
		d.current, d.fewest, d.most = entries, entries, entries
	}
	if entries != d.current {
		d.current, d.changedAt = entries, now
		d.fewest, d.most = min(d.fewest, entries), max(d.most, entries)
	}
}

func (d *division) expire(now time.Time) {
	if now.Sub(d.changedAt) > memberTTL {
		d.fewest, d.most = d.current, d.current
	}
}

// excess returns the slots beyond the free ones, as a fraction of these, that the most
// entries use together if each divides by the fewest.
func (d *division) excess(now time.Time) float64 {
	d.expire(now)
	if d.fewest == 0 {
		return 0
	}
	return float64(d.most)/float64(d.fewest) - 1
}
