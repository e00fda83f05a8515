package members

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/wire"
)

const (
	exchangeTimeout = 2 * time.Second
	// roundsPerProbe is the number of exchange rounds per probe of a random
	// silent entry. Probes reconnect the parts of the fleet after a network
	// partition.
	roundsPerProbe = 3
)

// runExchanges exchanges summaries with the neighbours once per period, and
// sooner after an urgent change.
func (d *Directory) runExchanges(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for round := 0; ; round++ {
		if !d.waitForRound(ctx) {
			return
		}
		neighbours, probe := d.planRound(round)
		for _, neighbour := range neighbours {
			d.startExchange(ctx, &wg, neighbour, true)
		}
		if probe != nil {
			d.startExchange(ctx, &wg, *probe, false)
		}
	}
}

// planRound returns the neighbours for this round, and the entry to probe or
// nil.
func (d *Directory) planRound(round int) ([]platform.Instance, *platform.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	neighbours := d.roster.updateNeighbours()
	if round%roundsPerProbe != 0 {
		return neighbours, nil
	}
	probe, ok := d.roster.chooseProbe(neighbours, rand.IntN)
	if !ok {
		return neighbours, nil
	}
	return neighbours, &probe
}

// waitForRound waits for the end of the exchange period or, if there is an
// urgent change, of the minimum interval. It reports false if ctx is done.
func (d *Directory) waitForRound(ctx context.Context) bool {
	if !sleep(ctx, jitter(d.config.MinExchangeInterval)) {
		return false
	}
	timer := time.NewTimer(jitter(d.config.ExchangePeriod - d.config.MinExchangeInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-d.urgentChange:
	case <-timer.C:
	}
	d.mu.Lock()
	d.roster.hasUrgentChange = false
	d.mu.Unlock()
	return true
}

func (d *Directory) startExchange(ctx context.Context, wg *sync.WaitGroup, peer platform.Instance, observe bool) {
	d.mu.Lock()
	inProgress := d.exchangesInProgress[peer.ID]
	d.exchangesInProgress[peer.ID] = true
	d.mu.Unlock()
	if inProgress {
		return
	}
	wg.Go(func() {
		d.exchange(ctx, peer, observe)
		d.mu.Lock()
		delete(d.exchangesInProgress, peer.ID)
		d.mu.Unlock()
	})
}

func (d *Directory) exchange(ctx context.Context, peer platform.Instance, observe bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var request wire.MembershipSummary
	d.update(func(r *roster, now time.Time) { request = r.buildSummary(now, peer.ID) })
	d.exchangeCount.Inc(1)
	reply, err := wire.Call[wire.MembershipSummary](ctx, d.config.Peer, peer.PeerAddr, wire.KindMembershipSummary, request)
	if err != nil {
		d.exchangeFailures.Inc(1)
		return
	}
	d.update(func(r *roster, now time.Time) { r.applySummary(now, reply, observe && reply.From == peer.ID) })
}

// otherEntries returns the entries that are not gone, without this one.
func (r *roster) otherEntries() []platform.Instance {
	var entries []platform.Instance
	for id, rec := range r.records {
		if id == r.self.ID || rec.instance.Role != platform.RoleEntry || rec.state() == StateGone {
			continue
		}
		entries = append(entries, rec.instance)
	}
	return entries
}

// updateNeighbours returns the current neighbours and stops the direct
// observation of former neighbours.
func (r *roster) updateNeighbours() []platform.Instance {
	chosen := chooseNeighbours(r.self, r.otherEntries())
	current := make(map[core.InstanceID]bool, len(chosen))
	for _, neighbour := range chosen {
		current[neighbour.ID] = true
	}
	for id, rec := range r.records {
		if rec.instance.Role == platform.RoleEntry && !current[id] {
			rec.observed = false
		}
	}
	return chosen
}

// chooseProbe returns a random silent entry that is not a neighbour: a silent
// entry may be in another part of a partitioned network. Entries that are alive
// are not probed, since that would cost a full summary for each pair. intN
// returns a random number in [0, n).
func (r *roster) chooseProbe(neighbours []platform.Instance, intN func(n int) int) (platform.Instance, bool) {
	excluded := map[core.InstanceID]bool{r.self.ID: true}
	for _, neighbour := range neighbours {
		excluded[neighbour.ID] = true
	}
	var candidates []platform.Instance
	for id, rec := range r.records {
		if rec.instance.Role == platform.RoleEntry && !excluded[id] && rec.isSilent() && !rec.hasLeft() {
			candidates = append(candidates, rec.instance)
		}
	}
	if len(candidates) == 0 {
		return platform.Instance{}, false
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].ID < candidates[j].ID })
	return candidates[intN(len(candidates))], true
}
