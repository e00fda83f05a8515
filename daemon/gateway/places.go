package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
	"currantusher.dev/requests/sharedlimit"
	"currantusher.dev/tables/watch"
)

const (
	// placeTimeout bounds the wait for another entry's reply to a request for a place.
	placeTimeout = 50 * time.Millisecond
	// placeValidity is how long a place that another entry gave may be used.
	placeValidity = 250 * time.Millisecond
	// holderBackoff is how long an entry is not asked that did not reply or has no part.
	holderBackoff = time.Second
	// maxAsked bounds the entries that one request asks, one after the other.
	maxAsked = 2
	// promiseRetention is how long it is known that an entry said when to ask again.
	promiseRetention = 5 * time.Second
)

// holderKey is an entry that holds a part of the limit of a server.
type holderKey struct {
	server, holder core.InstanceID
}

// holderSet holds when entries that denied a place may be asked again. It is safe for
// concurrent use.
type holderSet struct {
	mu      sync.Mutex
	retryAt map[holderKey]time.Time
	// renewAt is when the stale limit of a server may be renewed again.
	renewAt map[core.InstanceID]time.Time
}

func newHolderSet() *holderSet {
	return &holderSet{retryAt: map[holderKey]time.Time{}, renewAt: map[core.InstanceID]time.Time{}}
}

// startRenewal reports whether the stale limit of a server may be renewed now. It then
// returns false for the time in which a place is valid.
func (h *holderSet) startRenewal(now time.Time, server core.InstanceID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Before(h.renewAt[server]) {
		return false
	}
	h.renewAt[server] = now.Add(placeValidity)
	return true
}

// mayAsk reports whether an entry may be asked now, and since when if it said so.
func (h *holderSet) mayAsk(now time.Time, key holderKey) (since time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since = h.retryAt[key]
	return since, !now.Before(since)
}

func (h *holderSet) deny(key holderKey, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retryAt[key] = until
}

// nextRetry returns when the next of the entries that denied a place at a server may be
// asked again, or the zero time if there is none.
func (h *holderSet) nextRetry(now time.Time, server core.InstanceID) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var next time.Time
	for key, at := range h.retryAt {
		if key.server == server && at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

func (h *holderSet) sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, at := range h.retryAt {
		if now.Sub(at) > promiseRetention {
			delete(h.retryAt, key)
		}
	}
	for server, at := range h.renewAt {
		if now.After(at) {
			delete(h.renewAt, server)
		}
	}
}

// placeChoice is an entry that may have a place at a server.
type placeChoice struct {
	holderKey
	incarnation core.Incarnation
	// promisedAt is when the entry said that it may be asked again; zero if it did not.
	promisedAt time.Time
}

// seekPlace asks another entry for a place at a limited server if no server has room for
// a request. Without it, callers of entries that have no part would never be served. If
// other servers have room, it only renews stale limits.
func (g *Gateway) seekPlace(ctx context.Context, r requirements) {
	if g.rateLimits.IsEmpty() {
		return
	}
	pool := core.PoolName(r.service)
	servers := g.reachable(g.services.placer(pool), r)
	for _, s := range servers {
		if s.FreeSlots > 0 && !s.DataCentreOut && !s.Leaving {
			g.renewStaleLimits(pool, servers)
			return
		}
	}
	choices := g.placeChoices(time.Now(), servers)
	for _, choice := range choices[:min(maxAsked, len(choices))] {
		if g.borrowPlace(ctx, choice) {
			g.services.queue(pool).Refresh()
			return
		}
	}
}

// renewStaleLimits asks for places at servers whose limits no answer has confirmed for long.
// If the entries that have parts get no requests, nobody else would notice the end of a
// limit. The request that caused it does not wait; a later one uses the place.
func (g *Gateway) renewStaleLimits(pool core.PoolName, servers []reachableServer) {
	now := time.Now()
	for _, s := range servers {
		if !g.rateLimits.IsStale(now, lifetimeOf(s.server)) || !g.holders.startRenewal(now, s.ID) {
			continue
		}
		choices := g.placeChoices(now, []reachableServer{s})
		if len(choices) == 0 {
			continue
		}
		go func() {
			if g.borrowPlace(context.Background(), choices[0]) {
				g.services.queue(pool).Refresh()
			}
		}()
	}
}

// placeChoices returns the entries that may be asked for a place at servers without one:
// first those that said that they have one by now, then the others in a random order.
// This entry waits for places of its own parts at the same time.
func (g *Gateway) placeChoices(now time.Time, servers []reachableServer) []placeChoice {
	sharing := g.sharing()
	var choices []placeChoice
	for _, s := range servers {
		perSecond, limited := g.rateLimits.Rate(lifetimeOf(s.server))
		if !limited || s.hasPlace || s.slots <= 0 || s.DataCentreOut || s.Leaving {
			continue
		}
		g.ledger.Await(now, s.ID)
		near, limit := sharing.rate(s.server, perSecond)
		for _, holder := range near.Holders(s.ID, limit) {
			key := holderKey{server: s.ID, holder: holder}
			if promisedAt, ok := g.holders.mayAsk(now, key); ok {
				choices = append(choices, placeChoice{holderKey: key, incarnation: lifetimeOf(s.server).Incarnation, promisedAt: promisedAt})
			}
		}
	}
	rand.Shuffle(len(choices), func(i, j int) { choices[i], choices[j] = choices[j], choices[i] })
	slices.SortStableFunc(choices, func(a, b placeChoice) int {
		if a.promisedAt.IsZero() || b.promisedAt.IsZero() {
			return cmp.Compare(boolToInt(a.promisedAt.IsZero()), boolToInt(b.promisedAt.IsZero()))
		}
		return a.promisedAt.Compare(b.promisedAt)
	})
	return choices
}

// borrowPlace asks an entry for a place. It reports whether it got one.
func (g *Gateway) borrowPlace(ctx context.Context, choice placeChoice) bool {
	addr := g.gossip.PeerAddr(choice.holder)
	if addr == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	reply, err := g.gossip.AskForPlace(ctx, addr, choice.server, choice.incarnation)
	now := time.Now()
	fields := logrus.Fields{"server": choice.server, "holder": choice.holder}
	switch {
	case err != nil:
		metrics.GetOrRegisterCounter("limits.places_unanswered", g.registry).Inc(1)
		g.log.WithError(err).WithFields(fields).Debug("Could not ask for a place at a limited server.")
		g.holders.deny(choice.holderKey, now.Add(holderBackoff))
		return false
	case !reply.Given:
		metrics.GetOrRegisterCounter("limits.places_denied", g.registry).Inc(1)
		retryIn := reply.RetryIn
		if retryIn <= 0 {
			retryIn = holderBackoff
		}
		g.holders.deny(choice.holderKey, now.Add(retryIn))
		return false
	}
	metrics.GetOrRegisterCounter("limits.places_received", g.registry).Inc(1)
	g.ledger.Receive(now, choice.server, now.Add(placeValidity))
	return true
}

// onPlaceRequest decides whether another entry gets a place of this entry's part.
func (g *Gateway) onPlaceRequest(request fleet.PlaceRequest) fleet.PlaceReply {
	lifetime := notices.Lifetime{Server: request.Server, Incarnation: request.Incarnation}
	perSecond, limited := g.rateLimits.Rate(lifetime)
	server := g.serverByID(request.Server)
	if !limited || server == nil {
		return fleet.PlaceReply{}
	}
	near, limit := g.sharing().rate(server, perSecond)
	now := time.Now()
	given, opensAt := g.ledger.Give(now, request.Server, near.Part(request.Server, limit), request.From)
	if given {
		metrics.GetOrRegisterCounter("limits.places_given", g.registry).Inc(1)
		return fleet.PlaceReply{Given: true}
	}
	if opensAt.IsZero() {
		return fleet.PlaceReply{}
	}
	return fleet.PlaceReply{RetryIn: opensAt.Sub(now)}
}

func (g *Gateway) serverByID(id core.InstanceID) *watch.Server {
	for _, servers := range g.follower.View().Servers {
		for _, server := range servers {
			if server.ID == id {
				return server
			}
		}
	}
	return nil
}

// ratePerSecond returns this entry's part of a limit in requests a second.
func ratePerSecond(part sharedlimit.Part) float64 {
	return float64(part.Requests) / part.Window.Seconds()
}
