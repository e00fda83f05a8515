package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"currantusher.dev/platform/rowstore"
)

// lostRowGrace is how long a row that the store has lost still counts. Its daemon writes
// it again within rewriteSpread, and after each further failure within twice that.
const lostRowGrace = 10 * time.Second

// lostRows adds rows to those read after a loss of the store. Without them, all daemons
// would have incomplete lists until the last one has written its row again. It has no
// clock and does no I/O.
type lostRows struct {
	era uint64
	// known holds the rows of the last read.
	known map[string]rowstore.Row
	// lost holds the rows that count until a time although the store has lost them.
	lost  map[string]rowstore.Row
	until time.Time
}

// merge returns the rows of a page, and the lost ones that still count, ordered by key.
// It ignores a page of an earlier era than the last one.
func (l *lostRows) merge(now time.Time, page rowstore.Page) []rowstore.Row {
	if page.Era > l.era && len(l.known) > 0 {
		if l.lost == nil {
			l.lost = map[string]rowstore.Row{}
		}
		maps.Copy(l.lost, l.known)
		l.until = now.Add(lostRowGrace)
	}
	if page.Era >= l.era {
		l.era = page.Era
		l.known = make(map[string]rowstore.Row, len(page.Rows))
		for _, row := range page.Rows {
			l.known[row.Key] = row
		}
	}
	if !now.Before(l.until) {
		l.lost = nil
	}
	merged := make(map[string]rowstore.Row, len(l.known)+len(l.lost))
	maps.Copy(merged, l.lost)
	maps.Copy(merged, l.known)
	return slices.SortedFunc(maps.Values(merged), func(a, b rowstore.Row) int { return cmp.Compare(a.Key, b.Key) })
}
