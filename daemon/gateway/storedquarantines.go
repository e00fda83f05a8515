package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"currantusher.dev/core"
	"currantusher.dev/daemon/quarantinerows"
	"currantusher.dev/daemon/roster"
	"currantusher.dev/members/gossip"
	"currantusher.dev/requests/quarantine"
)

// maxQuarantineWait bounds the time for which an entry that could serve waits for the stored
// quarantines. It is reached only if the store fails after the configuration has been read, or
// if the configuration comes from other entries, which tell their quarantines by gossip.
const maxQuarantineWait = 2 * time.Second

// storedQuarantines keeps the quarantines of an entry's crashGuard in the platform's store.
type storedQuarantines struct {
	*quarantinerows.Keeper
	// waitsSince is when the entry was first ready but for the stored quarantines.
	waitsSince atomic.Pointer[time.Time]
}

func newStoredQuarantines(g *Gateway, guard *crashGuard) *storedQuarantines {
	return &storedQuarantines{Keeper: quarantinerows.NewKeeper(quarantinerows.Config{
		Store: g.store,
		Set:   guard.set,
		Rank: func() (int, bool) {
			return keeperRank(g.config.Node.Instance, g.gossip.AliveMembers(), g.gossip.AwaitedMembers())
		},
		Apply: func(changes []quarantine.Change) { guard.apply(changes, learnedFromStore) },
		Now:   g.clock.Now,
		Log:   guard.log,
	})}
}

// areKnown reports whether the stored quarantines have been read, or have been waited for long
// enough. It is called when the entry is ready but for them.
func (s *storedQuarantines) areKnown(now time.Time) bool {
	if s.HasLoaded() {
		return true
	}
	s.waitsSince.CompareAndSwap(nil, &now)
	return now.Sub(*s.waitsSince.Load()) >= maxQuarantineWait
}

func (s *storedQuarantines) run(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.Follow(groupCtx) })
	group.Go(func() error { return s.Write(groupCtx) })
	return group.Wait()
}

// keeperRank returns the place of an entry among those that keep the rows of quarantines: the
// relays of each data centre, or all its entries where there are none.
func keeperRank(self core.InstanceID, alive, awaited []gossip.Member) (rank int, isKeeper bool) {
	members := append(slices.Clone(alive), awaited...)
	var keepers []gossip.Member
	for _, m := range alive {
		relays := roster.Relays(members, m.DataCentre)
		isRelay := false
		for _, r := range relays {
			isRelay = isRelay || r.ID == m.ID
		}
		if isRelay || len(relays) == 0 {
			keepers = append(keepers, m)
		}
	}
	slices.SortFunc(keepers, func(a, b gossip.Member) int { return cmp.Compare(a.ID, b.ID) })
	rank = slices.IndexFunc(keepers, func(m gossip.Member) bool { return m.ID == self })
	return rank, rank >= 0
}
