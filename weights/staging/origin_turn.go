package staging

import "time"

// originPace is the rate at which pieces are requested from the origin, relative to
// the rate at which its link sends them. Above 1, the link stays busy although some
// requests come late.
const originPace = 1.15

// originTurn returns how long to wait before a piece is requested from the origin.
// sinceStart is the time since the start of the fetch. The turns of all pieces are
// spread over the time that the origin takes to send them all. The first request of a
// piece that comes late does not wait; for retries the turns recur with that period. If
// all agents of the origin's region requested their pieces at once, at the start or after
// an outage, all pieces would arrive together at the end of the whole transfer, and no
// agent could pass a piece on until then. In a large region the requests would also time
// out, and be repeated.
func (t TargetVersion) originTurn(piece int, sinceStart time.Duration, isRetry bool) time.Duration {
	period := t.originPeriod()
	if period <= 0 {
		return 0
	}
	wait := time.Duration(piece)*period/time.Duration(t.Pieces) - sinceStart
	if wait < 0 && isRetry {
		wait = (wait%period + period) % period
	}
	return max(wait, 0)
}

// originPeriod returns the time between two turns of a piece, or 0 if the bandwidth of
// the origin is unknown.
func (t TargetVersion) originPeriod() time.Duration {
	return time.Duration(float64(t.Pieces) * float64(t.OriginPieceTime) / originPace)
}

// requestFrom postpones the turns of the pieces at the origin to a time that is not past:
// its link first sends the copy of an older version, which it keeps for a short time.
func (f *fetcher) requestFrom(at time.Time) {
	if delay := at.Sub(f.manager.config.Now()); delay > 0 {
		f.startedAt = f.startedAt.Add(delay)
	}
}
