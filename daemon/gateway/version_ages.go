package gateway

import (
	"time"

	"currantusher.dev/members/gossip"
	"currantusher.dev/tables/versionages"
	"currantusher.dev/tables/watch"
)

// maxGossipedVersions bounds the versions of all models in a message to other entries, in
// deployments with fewer than half as many models. With the bounds of the other fields the
// message fits into a datagram.
const maxGossipedVersions = 128

// maxReportDelay is the time within which a report of another daemon is processed while
// this process runs. Reports may have waited for longer if it did not.
const maxReportDelay = 500 * time.Millisecond

// newestWeights returns the versions of each model that are or will have to be in force,
// and their ages at this entry, for gossip: a version must be in force at its own time
// although a newer one has been configured since.
func (g *Gateway) newestWeights() []gossip.NewestWeights {
	return reportVersions(g.clock.Now(), g.follower.View(), g.node.Load().Bounds.VersionInForce)
}

func reportVersions(now time.Time, view *watch.View, inForceWithin time.Duration) []gossip.NewestWeights {
	limit := versionLimit(now, view, inForceWithin)
	var list []gossip.NewestWeights
	for model := range view.Targets {
		for _, target := range view.EffectiveTargets(now, model, inForceWithin, limit) {
			report := gossip.NewestWeights{Model: model, Version: target.Version, IsUndated: !target.IsReportable(now)}
			if !report.IsUndated {
				report.Age, report.First = now.Sub(target.Since), target.First
			}
			list = append(list, report)
		}
	}
	return list
}

// versionLimit returns the number of versions of each model that fit into a message. At
// least two do: the newest one must not be in force before its time.
func versionLimit(now time.Time, view *watch.View, inForceWithin time.Duration) int {
	changing := 0
	for model := range view.Targets {
		if len(view.EffectiveTargets(now, model, inForceWithin, maxGossipedVersions)) > 1 {
			changing++
		}
	}
	return max(2, 1+(maxGossipedVersions-len(view.Targets))/max(1, changing))
}

// onNewestWeights handles the ages of the newest versions at another entry.
// Without them, a new entry would require versions that do not have to be in force
// yet, and one that read a version late would send requests to older weights for too
// long.
func (g *Gateway) onNewestWeights(list []gossip.NewestWeights) {
	now := g.clock.Now()
	for _, n := range list {
		if n.IsUndated {
			g.follower.AddUndatedVersion(n.Model, n.Version)
			continue
		}
		first := n.Version
		if n.First > 0 {
			first = min(first, n.First)
		}
		g.follower.ReportVersion(watch.VersionReport{
			Model: n.Model, First: first, Version: n.Version, Since: now.Add(-n.Age), SentAfter: now.Add(-maxReportDelay), Source: watch.SourceGossip,
		})
	}
}

// versionAges returns the ages of versions that this entry knows, for agents.
func (g *Gateway) versionAges() []versionages.Age {
	return versionages.Known(g.follower.View(), g.clock.Now(), g.node.Load().Bounds.VersionInForce)
}

// onVersionAges handles the ages of versions at an agent, which were true at a time.
func (g *Gateway) onVersionAges(ages []versionages.Age, at time.Time) {
	versionages.Report(g.follower, watch.SourceAgent, ages, at, at.Add(-maxReportDelay))
}
