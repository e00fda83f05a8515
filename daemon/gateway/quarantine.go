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
	"currantusher.dev/requests/direct"
	"currantusher.dev/requests/notices"
	"currantusher.dev/requests/quarantine"
	"currantusher.dev/requests/upstream"
)

const (
	// quarantinePeriod is how often the entry decides on traits of requests.
	quarantinePeriod = 50 * time.Millisecond
	// largeSettleTime is how long news takes to reach all entries of a large deployment,
	// where it is relayed. In a small one it takes one message.
	largeSettleTime = time.Second
	// maxLoggedTraits bounds the traits of each kind that a log line names.
	maxLoggedTraits = 64
)

// Values of the log field that tells how an entry learned of a change.
const (
	learnedFromEvidence = "own evidence"
	learnedFromGossip   = "gossip"
	learnedFromStore    = "store"
)

// crashGuard keeps requests that crash backend servers away from them.
type crashGuard struct {
	gateway   *Gateway
	set       *quarantine.Set
	confirmer *quarantine.Confirmer
	stored    *storedQuarantines
	log       *logrus.Entry
}

func newCrashGuard(g *Gateway) *crashGuard {
	c := &crashGuard{gateway: g, set: quarantine.NewSet(), log: g.config.Log.Component("quarantine")}
	dialer := netdial.New(upstream.DefaultDialTimeout)
	c.confirmer = quarantine.NewConfirmer(func(ctx context.Context, addr string) error {
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			return err
		}
		return conn.Close()
	}, c.crashed)
	c.stored = newStoredQuarantines(g, c)
	return c
}

// requestTraits returns what other requests may share with a request: the shared parts of
// its prompt and, last, the whole request.
func requestTraits(c *call, model fleet.Model, r *http.Request, promptParts string) []fleet.Trait {
	var team core.Team
	if c.team != nil {
		team = c.team.Name
	}
	return append(sharedParts(model, r.Header, promptParts), requestTrait(team, r.Method, r.Host, r.RequestURI, c.body))
}

// sharedParts returns the parts of a request's prompt that other requests may share.
func sharedParts(model fleet.Model, header http.Header, name string) []fleet.Trait {
	if model == "" {
		return nil
	}
	ids := headers.SharedPromptParts(header.Get(name))
	parts := make([]fleet.Trait, len(ids), len(ids)+1)
	for i, id := range ids {
		parts[i] = fleet.Trait{Model: model, ID: id}
	}
	return parts
}

// check returns a refusal if one of the traits is quarantined.
func (c *crashGuard) check(traits []fleet.Trait) error {
	now := c.gateway.clock.Now()
	trait, until, found := c.set.Quarantined(now, traits)
	if !found {
		return nil
	}
	metrics.GetOrRegisterCounter("quarantine.refusals", c.gateway.registry).Inc(1)
	if trait.IsRequest() {
		return core.NewRefusal(core.CodeRequestQuarantined, until.Sub(now), "the same request has crashed backend servers; its fingerprint is %s", trait.ID)
	}
	return core.NewRefusal(core.CodePartQuarantined, until.Sub(now), "prompt part %s has crashed backend servers", trait.ID)
}

// isQuarantined reports whether err is a refusal of check.
func isQuarantined(err error) bool {
	code := core.CodeOf(err)
	return code == core.CodePartQuarantined || code == core.CodeRequestQuarantined
}

// survived records that a server has begun to answer a request with these traits, or has
// answered it, without a crash.
func (c *crashGuard) survived(traits []fleet.Trait) {
	if len(traits) > 0 && c.set.Started(c.gateway.clock.Now(), traits) {
		c.gateway.gossip.SendSoon()
	}
}

// lost handles the end of a connection by a server before the answer began.
func (c *crashGuard) lost(server notices.Lifetime, addr, requestID string, traits []fleet.Trait) {
	c.confirmer.Lost(context.Background(), c.gateway.clock.Now(), server, addr, requestID, traits)
}

// crashed records the crash of a server with the requests of this entry that waited
// there.
func (c *crashGuard) crashed(server notices.Lifetime, at time.Time, waiting []fleet.Suspect) {
	if !c.set.Crashed(c.gateway.clock.Now(), server, at, waiting) {
		return
	}
	metrics.GetOrRegisterCounter("quarantine.crashes", c.gateway.registry).Inc(1)
	parts, requests := traitIDs(suspectTraits(waiting))
	fields := logrus.Fields{"server": server.Server, "waiting": len(requests), "request_fingerprints": requests}
	if len(parts) > 0 {
		fields["prompt_parts"] = parts
	}
	c.log.WithFields(fields).Warn("A server crashed while requests waited for their answers.")
	c.gateway.gossip.SendSoon()
}

// suspectTraits returns the distinct traits of suspects.
func suspectTraits(suspects []fleet.Suspect) []fleet.Trait {
	var traits []fleet.Trait
	for _, s := range suspects {
		if !slices.Contains(traits, s.Trait) {
			traits = append(traits, s.Trait)
		}
	}
	return traits
}

// traitIDs returns the identifiers of prompt parts and the fingerprints of whole requests
// for a log line, at most maxLoggedTraits of each.
func traitIDs(traits []fleet.Trait) (parts, requests []string) {
	for _, trait := range traits {
		list := &parts
		if trait.IsRequest() {
			list = &requests
		}
		if len(*list) < maxLoggedTraits {
			*list = append(*list, trait.ID)
		}
	}
	return parts, requests
}

// addTraits adds the traits of one request to the fields of its log line.
func addTraits(fields logrus.Fields, traits []fleet.Trait) {
	parts, requests := traitIDs(traits)
	if len(parts) > 0 {
		fields["prompt_parts"] = parts
	}
	if len(requests) > 0 {
		fields["request_fingerprint"] = requests[0]
	}
}

// evidence returns what to tell other entries.
func (c *crashGuard) evidence() fleet.CrashEvidence { return c.set.Evidence(c.gateway.clock.Now()) }

// onEvidence handles what another entry tells.
func (c *crashGuard) onEvidence(e fleet.CrashEvidence) {
	changes, isNews := c.set.Merge(c.gateway.clock.Now(), e)
	c.apply(changes, learnedFromGossip)
	c.store(changes)
	if isNews && c.gateway.gossip.IsLarge() {
		c.gateway.gossip.SendSoon()
	}
}

// run decides on traits until ctx ends.
func (c *crashGuard) run(ctx context.Context) error {
	quarantined := metrics.GetOrRegisterGauge("quarantine.traits", c.gateway.registry)
	crashes := metrics.GetOrRegisterGauge("quarantine.evidence", c.gateway.registry)
	evidence := c.set.EvidenceVersion()
	return runPeriodically(ctx, quarantinePeriod, func() {
		if version := c.set.EvidenceVersion(); version != evidence {
			evidence = version
			c.stored.Wake()
		}
		settle := gossip.RoundPeriod
		if c.gateway.gossip.IsLarge() {
			settle = largeSettleTime
		}
		now := c.gateway.clock.Now()
		c.set.Progress(now)
		changes := c.set.Decide(now, settle)
		c.apply(changes, learnedFromEvidence)
		c.store(changes)
		if len(changes) > 0 {
			c.gateway.gossip.SendSoon()
		}
		counts := c.set.Counts()
		quarantined.Update(int64(counts.Quarantined))
		crashes.Update(int64(counts.Crashes))
	})
}

// store has changes of quarantines stored soon.
func (c *crashGuard) store(changes []quarantine.Change) {
	if len(changes) > 0 {
		c.stored.Wake()
	}
}

// apply logs changes of quarantines and recalls the requests that have become quarantined.
func (c *crashGuard) apply(changes []quarantine.Change, learnedFrom string) {
	for _, change := range changes {
		fields, subject := changeFields(change)
		fields["learned_from"] = learnedFrom
		if change.Until.IsZero() {
			c.log.WithFields(fields).Info(subject + " is no longer quarantined.")
			continue
		}
		left := change.Until.Sub(c.gateway.clock.Now())
		fields["for_ms"] = left.Milliseconds()
		fields["until"] = time.Now().Add(left).UTC().Format(time.RFC3339)
		fields["recalled"] = c.recall(change)
		c.log.WithFields(fields).Warn(subject + " is quarantined: requests with it are refused.")
	}
}

// changeFields returns the log fields of a change, and its subject in words.
func changeFields(change quarantine.Change) (fields logrus.Fields, subject string) {
	fields = logrus.Fields{"crashes": change.Crashes, "reason": change.Reason.String()}
	if change.Trait.IsRequest() {
		fields["request_fingerprint"] = change.Trait.ID
		subject = "A request fingerprint"
	} else {
		fields["prompt_part"], fields["model"] = change.Trait.ID, change.Trait.Model
		subject = "A prompt part"
	}
	parts, requests := traitIDs(change.With)
	if len(parts) > 0 {
		fields["only_with"] = parts
	}
	if len(requests) > 0 {
		fields["only_with_requests"] = requests
	}
	return fields, subject
}

// recall cancels the requests that a change applies to and that no engine has begun, as
// far as they may be sent again. It returns their number.
func (c *crashGuard) recall(change quarantine.Change) int {
	return len(c.gateway.queueWaits.recallPending(direct.RecallQuarantined, func(t *trackedWait) bool { return change.AppliesTo(t.traits) }))
}

// AnswerBegan implements direct.Observer.
func (o observer) AnswerBegan(notices.Lifetime) { o.gateway.crashGuard.survived(o.traits) }

// AnsweredOtherwise implements direct.Observer. An engine may answer with an error before
// the prompt reaches the model, so that only other servers prove a request sound by that.
func (o observer) AnsweredOtherwise(notices.Lifetime) {
	if o.model == "" {
		o.gateway.crashGuard.survived(o.traits)
	}
}

// ConnectionEnded implements direct.Observer.
func (o observer) ConnectionEnded(server notices.Lifetime, addr string) {
	o.gateway.crashGuard.lost(server, addr, o.requestID, o.traits)
}
