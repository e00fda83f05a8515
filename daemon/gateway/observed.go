package gateway

import (
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/direct"
	"currantusher.dev/requests/stall"
	"currantusher.dev/tables/watch"
)

// observations holds what answers told of backend servers ahead of the
// platform's list, which lags by up to two seconds.
type observations struct {
	mu      sync.Mutex
	servers map[core.InstanceID]observation
}

type observation struct {
	versions map[fleet.Model]fleet.WeightsVersion
	cold     time.Time
	at       time.Time
}

// observationTTL is how long an observation counts beside the list.
const observationTTL = 4 * time.Second

func newObservations() *observations {
	return &observations{servers: map[core.InstanceID]observation{}}
}

// answered notes what an answer says of its server.
func (o *observations) answered(now time.Time, server core.InstanceID, model fleet.Model, version fleet.WeightsVersion, coldFor time.Duration) {
	if version == 0 && coldFor == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	seen, ok := o.servers[server]
	if !ok || now.Sub(seen.at) > observationTTL {
		seen = observation{versions: map[fleet.Model]fleet.WeightsVersion{}}
	}
	seen.at = now
	if version > 0 && model != "" {
		seen.versions[model] = version
	}
	if coldFor > 0 {
		seen.cold = now.Add(coldFor)
	}
	o.servers[server] = seen
}

// sweep forgets what no longer counts.
func (o *observations) sweep(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, seen := range o.servers {
		if now.Sub(seen.at) > observationTTL && now.After(seen.cold) {
			delete(o.servers, id)
		}
	}
}

// version returns the version that an answer named lately, or 0.
func (o *observations) version(server *watch.Server, model fleet.Model) fleet.WeightsVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen, ok := o.servers[server.ID]
	if !ok || time.Since(seen.at) > observationTTL {
		return 0
	}
	return seen.versions[model]
}

// coldUntil returns until when an answer said that the server is cold.
func (o *observations) coldUntil(server core.InstanceID) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.servers[server].cold
}

// observer implements direct.Observer for one entry.
type observer struct{ gateway *Gateway }

// BeforeSend implements direct.Observer.
func (o observer) BeforeSend(server core.InstanceID) { o.gateway.cold.Record(time.Now(), server) }

// AnswerReceived implements direct.Observer.
func (o observer) AnswerReceived(server core.InstanceID, model fleet.Model, version fleet.WeightsVersion, coldFor time.Duration) {
	o.gateway.observed.answered(time.Now(), server, model, version, coldFor)
}

// StartAttempt implements direct.Observer.
func (o observer) StartAttempt(server core.InstanceID, cancel func()) direct.AttemptObserver {
	return line{o.gateway.silence.Track(time.Now(), server, cancel)}
}

// line implements direct.Line with the current time.
type line struct{ *stall.TrackedRequest }

// DataReceived implements direct.Line.
func (l line) DataReceived() { l.TrackedRequest.RecordActivity(time.Now()) }

// InvalidHeader implements direct.Observer.
func (o observer) InvalidHeader(server core.InstanceID, header string, err error) {
	o.gateway.requests.WithError(err).WithField("server", server).WithField("header", header).Warn("Header not read; taken as missing.")
}
