package gateway

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/members/activeset"
	"currantusher.dev/members/gossip"
)

const (
	// activityPeriod is how often the set of active entries is computed again.
	activityPeriod = 100 * time.Millisecond
	// holdTTLs is how long an entry that is no longer selected stays active, in
	// lifetimes of a directory response: some callers use a response for three.
	holdTTLs = 3
	// settleTime is how long an entry of a large deployment is active before it uses
	// its share of the limits of backend servers: the other entries must learn of it
	// first. In a small deployment one round of messages reaches all.
	settleTime = 4 * time.Second
)

// updateActivity decides periodically whether this entry takes callers' requests.
func (g *Gateway) updateActivity(ctx context.Context) error {
	active := metrics.GetOrRegisterGauge("members.active", g.registry)
	senders := metrics.GetOrRegisterGauge("limits.senders", g.registry)
	return runPeriodically(ctx, activityPeriod, func() {
		now := time.Now()
		n := &g.config.Node
		hasDiscovered := g.entriesLoaded.Load() || now.Sub(g.started) >= discoveryTime
		selected := g.isReady() && hasDiscovered && selectsSelf(n.Instance, n.DataCentre, g.gossip.AliveMembers(), g.gossip.AwaitedMembers())
		g.activityMu.Lock()
		wasActive := g.activity.IsActive()
		g.activity.Update(now, selected, g.gossip.IsIsolated(), activityTiming(g.config.AddressTTL, g.gossip.IsLarge()))
		isActive := g.activity.IsActive()
		g.activityMu.Unlock()
		g.gossip.SetActivity(isActive, g.requestRate.PerSecond(now))
		g.updateSlotDivision()
		active.Update(boolToInt(isActive))
		senders.Update(int64(g.senders().Count))
		if isActive != wasActive {
			g.log.WithFields(logrus.Fields{"active": isActive, "senders": g.gossip.Senders().Count}).Info("The entry became active or standby.")
		}
	})
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// selectsSelf reports whether an entry of a data centre is one of those that take its
// callers' requests. The awaited members count as ready; otherwise all entries of a
// fleet that starts would select themselves until they know each other.
func selectsSelf(self core.InstanceID, centre core.DataCentre, alive, awaited []gossip.Member) bool {
	for _, m := range awaited {
		m.Phase = gossip.PhaseReady
		alive = append(alive, m)
	}
	return selectedEntries(alive, centre)[self]
}

// selectedEntries returns the entries of a data centre that take its callers'
// requests.
func selectedEntries(alive []gossip.Member, centre core.DataCentre) map[core.InstanceID]bool {
	var local []activeset.Entry
	for _, m := range readyMembers(alive) {
		if m.DataCentre == centre {
			local = append(local, activeset.Entry{ID: m.ID, Cores: m.Cores, RequestsPerSecond: m.RequestsPerSecond})
		}
	}
	return activeset.Select(local)
}

// holdsShares reports whether this entry may use its share of the limits of backend
// servers.
func (g *Gateway) holdsShares() bool {
	g.activityMu.Lock()
	defer g.activityMu.Unlock()
	return g.activity.HoldsShares()
}

func activityTiming(ttl time.Duration, isLarge bool) activeset.Timing {
	timing := activeset.Timing{Hold: holdTTLs * ttl, Settle: gossip.RoundPeriod}
	if isLarge {
		timing.Settle = settleTime
	}
	return timing
}

// updateSlotDivision divides the slots of servers among the active members and this
// entry, which may get requests of callers that use an old response of the directory.
func (g *Gateway) updateSlotDivision() {
	var sharing []gossip.Member
	for _, m := range g.gossip.AliveMembers() {
		if m.Active || m.ID == g.config.Node.Instance {
			sharing = append(sharing, m)
		}
	}
	division := newSlotDivision(sharing, g.config.Node.Regions, g.config.Node.Instance)
	g.slotDivision.Store(&division)
}
