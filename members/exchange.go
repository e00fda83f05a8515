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
	// probeRounds is the number of rounds between exchanges with a random
	// silent entry, which reconnect parts of the fleet after a split.
	probeRounds = 3
)

// runExchanges calls the neighbours once a period, sooner after a change.
func (d *Directory) runExchanges(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for round := 0; ; round++ {
		if !d.waitRound(ctx) {
			return
		}
		partners, probe := d.plan(round)
		for _, partner := range partners {
			d.start(ctx, &wg, partner, true)
		}
		if probe != nil {
			d.start(ctx, &wg, *probe, false)
		}
	}
}

// plan returns the neighbours to call in this round and the entry to probe.
func (d *Directory) plan(round int) ([]platform.Instance, *platform.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	partners := d.roster.partners()
	if round%probeRounds != 0 {
		return partners, nil
	}
	probe, ok := d.roster.probe(partners, rand.IntN)
	if !ok {
		return partners, nil
	}
	return partners, &probe
}

// waitRound waits for the next period, or for the gap after a change.
func (d *Directory) waitRound(ctx context.Context) bool {
	if !sleep(ctx, jitter(d.config.ExchangeGap)) {
		return false
	}
	timer := time.NewTimer(jitter(d.config.ExchangePeriod - d.config.ExchangeGap))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-d.urgent:
	case <-timer.C:
	}
	d.mu.Lock()
	d.roster.urgent = false
	d.mu.Unlock()
	return true
}

func (d *Directory) start(ctx context.Context, wg *sync.WaitGroup, partner platform.Instance, watch bool) {
	d.mu.Lock()
	busy := d.calls[partner.ID]
	d.calls[partner.ID] = true
	d.mu.Unlock()
	if busy {
		return
	}
	wg.Go(func() {
		d.exchange(ctx, partner, watch)
		d.mu.Lock()
		delete(d.calls, partner.ID)
		d.mu.Unlock()
	})
}

func (d *Directory) exchange(ctx context.Context, partner platform.Instance, watch bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var request wire.MembershipSummary
	d.update(func(r *roster, now time.Time) { request = r.summaryFor(now, partner.ID) })
	d.exchanges.Inc(1)
	reply, err := wire.Call[wire.MembershipSummary](ctx, d.config.Peer, partner.PeerAddr, wire.KindMembershipSummary, request)
	if err != nil {
		d.failures.Inc(1)
		return
	}
	d.update(func(r *roster, now time.Time) { r.receive(now, reply, watch && reply.From == partner.ID) })
}

// reachableEntries returns the entries that are not gone, without self.
func (r *roster) reachableEntries() []platform.Instance {
	var entries []platform.Instance
	for id, known := range r.records {
		if id == r.self.ID || known.instance.Role != platform.RoleEntry || known.state() == StateGone {
			continue
		}
		entries = append(entries, known.instance)
	}
	return entries
}

// partners returns the neighbours and stops the watch of former ones.
func (r *roster) partners() []platform.Instance {
	chosen := chooseNeighbours(r.self, r.reachableEntries())
	current := make(map[core.InstanceID]bool, len(chosen))
	for _, partner := range chosen {
		current[partner.ID] = true
	}
	for id, known := range r.records {
		if known.instance.Role == platform.RoleEntry && !current[id] {
			known.observed = false
		}
	}
	return chosen
}

// probe returns a random entry besides partners that is silent, since it may
// be in another part of a split fleet. Probing entries that are alive would
// cost a full summary for each pair. pick returns a random number below its
// argument.
func (r *roster) probe(partners []platform.Instance, pick func(n int) int) (platform.Instance, bool) {
	excluded := map[core.InstanceID]bool{r.self.ID: true}
	for _, partner := range partners {
		excluded[partner.ID] = true
	}
	var candidates []platform.Instance
	for id, known := range r.records {
		if known.instance.Role == platform.RoleEntry && !excluded[id] && known.silent() && !known.left() {
			candidates = append(candidates, known.instance)
		}
	}
	if len(candidates) == 0 {
		return platform.Instance{}, false
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].ID < candidates[j].ID })
	return candidates[pick(len(candidates))], true
}
