package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/core/netdial"
	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/headers"
	"currantusher.dev/requests/notices"
	"currantusher.dev/requests/quarantine"
	"currantusher.dev/requests/upstream"
)

const (
	// quarantinePeriod is how often the entry decides on prompt parts.
	quarantinePeriod = 50 * time.Millisecond
	// largeSettleTime is how long news takes to reach all entries of a large deployment,
	// where it is relayed. In a small one it takes one message.
	largeSettleTime = time.Second
	// maxLoggedParts bounds the parts that a log line names.
	maxLoggedParts = 64
)

// promptGuard keeps requests with prompt parts that crash engines away from them.
type promptGuard struct {
	gateway   *Gateway
	set       *quarantine.Set
	confirmer *quarantine.Confirmer
	log       *logrus.Entry
}

func newPromptGuard(g *Gateway) *promptGuard {
	p := &promptGuard{gateway: g, set: quarantine.NewSet(), log: g.config.Log.Component("quarantine")}
	dialer := netdial.New(upstream.DefaultDialTimeout)
	p.confirmer = quarantine.NewConfirmer(func(ctx context.Context, addr string) error {
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			return err
		}
		return conn.Close()
	}, p.crashed)
	return p
}

// sharedParts returns the parts of a request's prompt that other requests may share.
func sharedParts(model fleet.Model, header http.Header, name string) []fleet.Trait {
	if model == "" {
		return nil
	}
	ids := headers.SharedPromptParts(header.Get(name))
	parts := make([]fleet.Trait, len(ids))
	for i, id := range ids {
		parts[i] = fleet.Trait{Model: model, ID: id}
	}
	return parts
}

// check returns a refusal if one of the parts is quarantined.
func (p *promptGuard) check(parts []fleet.Trait) error {
	now := p.gateway.clock.Now()
	part, until, found := p.set.Quarantined(now, parts)
	if !found {
		return nil
	}
	metrics.GetOrRegisterCounter("quarantine.refusals", p.gateway.registry).Inc(1)
	return core.NewRefusal(core.CodePartQuarantined, until.Sub(now), "prompt part %s has crashed backend servers", part.ID)
}

// began records that an answer to a prompt with these parts has begun.
func (p *promptGuard) began(parts []fleet.Trait) {
	if len(parts) > 0 && p.set.Started(p.gateway.clock.Now(), parts) {
		p.gateway.gossip.SendSoon()
	}
}

// lost handles the end of a connection by a server before the answer began.
func (p *promptGuard) lost(server notices.Lifetime, addr, requestID string, parts []fleet.Trait) {
	p.confirmer.Lost(context.Background(), p.gateway.clock.Now(), server, addr, requestID, parts)
}

// crashed records the crash of a server with the requests of this entry that waited
// there.
func (p *promptGuard) crashed(server notices.Lifetime, at time.Time, waiting []fleet.Suspect) {
	if !p.set.Crashed(p.gateway.clock.Now(), server, at, waiting) {
		return
	}
	metrics.GetOrRegisterCounter("quarantine.crashes", p.gateway.registry).Inc(1)
	p.log.WithFields(logrus.Fields{
		"server": server.Server, "waiting": len(waiting), "prompt_parts": partIDs(suspectParts(waiting)),
	}).Warn("A server crashed while requests waited for their answers.")
	p.gateway.gossip.SendSoon()
}

// suspectParts returns the distinct parts of suspects.
func suspectParts(suspects []fleet.Suspect) []fleet.Trait {
	var parts []fleet.Trait
	for _, s := range suspects {
		if !slices.Contains(parts, s.Part) {
			parts = append(parts, s.Part)
		}
	}
	return parts
}

// partIDs returns the identifiers of parts for a log line, at most maxLoggedParts.
func partIDs(parts []fleet.Trait) []string {
	ids := make([]string, 0, maxLoggedParts)
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// evidence returns what to tell other entries.
func (p *promptGuard) evidence() fleet.CrashEvidence { return p.set.Evidence(p.gateway.clock.Now()) }

// onEvidence handles what another entry tells.
func (p *promptGuard) onEvidence(e fleet.CrashEvidence) {
	changes, isNews := p.set.Merge(p.gateway.clock.Now(), e)
	p.apply(changes)
	if isNews && p.gateway.gossip.IsLarge() {
		p.gateway.gossip.SendSoon()
	}
}

// run decides on parts until ctx ends.
func (p *promptGuard) run(ctx context.Context) error {
	parts := metrics.GetOrRegisterGauge("quarantine.parts", p.gateway.registry)
	crashes := metrics.GetOrRegisterGauge("quarantine.evidence", p.gateway.registry)
	return runPeriodically(ctx, quarantinePeriod, func() {
		settle := gossip.RoundPeriod
		if p.gateway.gossip.IsLarge() {
			settle = largeSettleTime
		}
		now := p.gateway.clock.Now()
		p.set.Progress(now)
		changes := p.set.Decide(now, settle)
		p.apply(changes)
		if len(changes) > 0 {
			p.gateway.gossip.SendSoon()
		}
		counts := p.set.Counts()
		parts.Update(int64(counts.Quarantined))
		crashes.Update(int64(counts.Crashes))
	})
}

// apply logs changes of quarantines and recalls the requests with parts that have become
// quarantined.
func (p *promptGuard) apply(changes []quarantine.Change) {
	for _, change := range changes {
		fields := logrus.Fields{
			"prompt_part": change.Part.ID, "model": change.Part.Model, "crashes": change.Crashes, "reason": change.Reason.String(),
		}
		if change.Until.IsZero() {
			p.log.WithFields(fields).Info("A prompt part is no longer quarantined.")
			continue
		}
		fields["for_ms"] = change.Until.Sub(p.gateway.clock.Now()).Milliseconds()
		fields["recalled"] = p.recall(change)
		if len(change.With) > 0 {
			fields["only_with"] = partIDs(change.With)
		}
		p.log.WithFields(fields).Warn("A prompt part is quarantined: requests with it are refused.")
	}
}

// recall cancels the requests that a change applies to and that no engine has begun, as
// far as they may be sent again. It returns their number.
func (p *promptGuard) recall(change quarantine.Change) int {
	taken := p.gateway.queueWaits.takePending(func(t *trackedWait) bool { return t.cancel != nil && change.AppliesTo(t.parts) })
	for _, t := range taken {
		t.cancel()
	}
	return len(taken)
}

// AnswerBegan implements direct.Observer.
func (o observer) AnswerBegan(notices.Lifetime) { o.gateway.promptGuard.began(o.parts) }

// ConnectionEnded implements direct.Observer.
func (o observer) ConnectionEnded(server notices.Lifetime, addr string) {
	o.gateway.promptGuard.lost(server, addr, o.requestID, o.parts)
}
