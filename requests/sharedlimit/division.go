package sharedlimit

import (
	"hash/fnv"
	"math"
	"time"

	"currantusher.dev/core"
)

const (
	// coldWindow is the window in which the limit of a cold server holds.
	coldWindow = time.Second
	// coldLeftOverFraction is the fraction of the limit of a cold server up to which the
	// requests that an even division leaves over are given out. The rest is for entries
	// that disagree for a moment on who gets them.
	coldLeftOverFraction = 0.9
	// rateWindow is the window of a rate, rounded up to a whole number of requests. A
	// short one leaves more of the rate unused, since a place is free for a while until
	// a request takes it; in a long one, callers wait longer for the next place.
	rateWindow = 4 * time.Second
	// minRateShare is the least number of requests in a window that an entry gets of a
	// rate, unless that allows fewer. With smaller shares, more places wait for a
	// request of the entry that has them.
	minRateShare = 4
	// catchUpFactor bounds the pace at which an entry uses its part of a rate, in
	// multiples of the mean pace.
	catchUpFactor = 2
)

// Limit is a limit on the requests of all entries to one backend server.
type Limit struct {
	// Requests is the number of requests in any Window.
	Requests int
	Window   time.Duration
	// LeftOver is the number of requests up to which those that an even division leaves
	// over are given out.
	LeftOver int
	// MinShare is the least number of requests that an entry gets, unless the limit
	// permits fewer; 0 means that all entries share the limit.
	MinShare int
	// IsPaced means that each entry spreads its requests over the window.
	IsPaced bool
	// IsLendable means that entries may give places to others.
	IsLendable bool
}

// Rate returns the limit that permits a number of requests a second, above 0.
func Rate(perSecond float64) Limit {
	requests := int(math.Ceil(min(perSecond*rateWindow.Seconds(), math.MaxInt32)))
	window := time.Duration(float64(requests) / perSecond * float64(time.Second))
	return Limit{Requests: requests, Window: window, LeftOver: requests, MinShare: minRateShare, IsPaced: true, IsLendable: true}
}

// Cold returns the limit of a server in cold start, perSecond x overshoot + slack
// requests in any second.
func Cold(perSecond, overshoot, slack float64) Limit {
	requests := perSecond*overshoot + slack
	return Limit{Requests: int(requests), Window: coldWindow, LeftOver: int(coldLeftOverFraction * requests)}
}

// Part is what one entry may send to a server because of a limit: at most Requests in
// any Window, at least Interval apart.
type Part struct {
	Requests   int
	Window     time.Duration
	Interval   time.Duration
	IsLendable bool
}

// Sharer is an entry that uses its part of limits.
type Sharer struct {
	ID         core.InstanceID
	DataCentre core.DataCentre
	Region     core.Region
	hash       uint64
}

// Sharers are the entries that divide limits among them, as one of them sees it.
type Sharers struct {
	self    core.InstanceID
	members []Sharer
	// count is the number of sharers, which includes some that are not known.
	count int
}

// NewSharers returns the sharers as seen by the entry self, which need not be one of
// them. count is their number, which includes some that are not known.
func NewSharers(self core.InstanceID, members []Sharer, count int) Sharers {
	s := Sharers{self: self, members: make([]Sharer, 0, len(members)), count: max(count, 1)}
	for _, member := range members {
		member.hash = hashID(member.ID)
		s.members = append(s.members, member)
	}
	return s
}

// Near returns the sharers in a data centre; if there are none, those in its region;
// if there are none, all. Any that are not known may be there.
func (s Sharers) Near(centre core.DataCentre, region core.Region) Sharers {
	for _, isNear := range []func(Sharer) bool{
		func(m Sharer) bool { return m.DataCentre == centre },
		func(m Sharer) bool { return m.Region == region },
	} {
		near := Sharers{self: s.self, count: s.count - len(s.members)}
		for _, m := range s.members {
			if isNear(m) {
				near.members = append(near.members, m)
			}
		}
		if len(near.members) > 0 {
			near.count = max(near.count, 0) + len(near.members)
			return near
		}
	}
	return s
}

// Part returns this entry's part of a limit on requests to a server.
func (s Sharers) Part(server core.InstanceID, limit Limit) Part {
	part := Part{Requests: s.share(s.self, server, limit), Window: limit.Window, IsLendable: limit.IsLendable}
	if limit.IsPaced && part.Requests > 0 {
		part.Interval = limit.Window / time.Duration(catchUpFactor*part.Requests)
	}
	return part
}

// Holders returns the other sharers that have a part of a limit.
func (s Sharers) Holders(server core.InstanceID, limit Limit) []core.InstanceID {
	var holders []core.InstanceID
	for _, m := range s.members {
		if m.ID != s.self && s.share(m.ID, server, limit) > 0 {
			holders = append(holders, m.ID)
		}
	}
	return holders
}

// share returns how many requests a sharer may send to a server in any window. What an
// even division leaves over goes to the sharers that have the lowest ranks for the
// server, so that a limit below their number can still be used. A rank hardly depends on
// whether the entries agree on who shares the limit.
func (s Sharers) share(id, server core.InstanceID, limit Limit) int {
	rank, ok := s.rank(id, server)
	if !ok {
		return 0
	}
	sharing := s.count
	if limit.MinShare > 0 {
		sharing = min(sharing, max(limit.Requests/limit.MinShare, 1))
	}
	if rank >= sharing {
		return 0
	}
	share := limit.Requests / sharing
	if leftOver := limit.LeftOver - share*sharing; rank < leftOver {
		share++
	}
	return share
}

// rank returns the number of sharers that come before one of them at a server. It
// returns false if id is not among them.
func (s Sharers) rank(id, server core.InstanceID) (rank int, ok bool) {
	serverHash, own := hashID(server), mix(hashID(id)^hashID(server))
	for _, m := range s.members {
		if m.ID == id {
			ok = true
		} else if mix(m.hash^serverHash) < own {
			rank++
		}
	}
	return rank, ok
}

func hashID(id core.InstanceID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}

// mix is the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
