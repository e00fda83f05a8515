package staging

import "time"

// originPace is the rate at which pieces are requested from the origin, relative to
// the rate at which its link sends them. Above 1, the link stays busy although some
// requests come late.
const originPace = 1.15

// originTurn returns the time after the start of the fetch at which a piece is
// requested from the origin. If all agents of the origin's region requested their
// pieces at once, all pieces would arrive together at the end of the whole transfer,
// and no agent could pass a piece on until then. In a large region the requests would
// also time out, and be repeated.
func (t TargetVersion) originTurn(piece int) time.Duration {
	return time.Duration(float64(piece) * float64(t.OriginPieceTime) / originPace)
}
