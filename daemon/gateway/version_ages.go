package gateway

import (
	"time"

	"currantusher.dev/members/gossip"
	"currantusher.dev/tables/versionages"
	"currantusher.dev/tables/watch"
)

// maxReportDelay is the time within which a report of another daemon is processed while
// this process runs. Reports may have waited for longer if it did not.
const maxReportDelay = 500 * time.Millisecond

// onNewestWeights handles the ages of the newest versions at another entry.
// Without them, a new entry would require versions that do not have to be in force
// yet, and one that read a version late would send requests to older weights for too
// long.
func (g *Gateway) onNewestWeights(list []gossip.NewestWeights) {
	now := g.clock.Now()
	for _, n := range list {
		g.follower.ReportVersion(watch.VersionReport{
			Model: n.Model, Version: n.Version, Since: now.Add(-n.Age), SentAfter: now.Add(-maxReportDelay),
		})
	}
}

// versionAges returns the ages of versions that this entry knows, for agents.
func (g *Gateway) versionAges() []versionages.Age {
	return versionages.Known(g.follower.View(), g.clock.Now())
}

// onVersionAges handles the ages of versions at an agent.
func (g *Gateway) onVersionAges(ages []versionages.Age) {
	now := g.clock.Now()
	versionages.Report(g.follower, ages, now, now.Add(-maxReportDelay))
}
