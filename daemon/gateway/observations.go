package gateway

import (
	"sync"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/direct"
	"currantusher.dev/requests/notices"
	"currantusher.dev/requests/stall"
)

// serverObservations holds what responses revealed about backend servers. It
// bridges the lag of the platform's list, which is up to two seconds. It is safe
// for concurrent use.
type serverObservations struct {
	mu      sync.Mutex
	servers map[core.InstanceID]observation
}

type observation struct {
	// versions holds what the process with this incarnation answered.
	versions    map[fleet.Model]observedVersion
	incarnation core.Incarnation
	// coldUntil may be that of a former process.
	coldUntil time.Time
	updatedAt time.Time
}

type observedVersion struct {
	version fleet.WeightsVersion
	at      time.Time
}

// observationTTL is how long an observation is valid.
const observationTTL = 4 * time.Second

func newServerObservations() *serverObservations {
	return &serverObservations{servers: map[core.InstanceID]observation{}}
}

// record stores the weights version and the remaining cold time that a response
// of a server contained.
func (o *serverObservations) record(now time.Time, server notices.Lifetime, model fleet.Model, version fleet.WeightsVersion, coldFor time.Duration) {
	if version == 0 && coldFor == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	observed, ok := o.servers[server.Server]
	if !ok || now.Sub(observed.updatedAt) > observationTTL {
		observed = observation{}
	}
	observed.updatedAt = now
	if version > 0 && model != "" {
		observed.setVersion(now, server.Incarnation, model, version)
	}
	if coldFor > 0 {
		observed.coldUntil = now.Add(coldFor)
	}
	o.servers[server.Server] = observed
}

// setVersion stores the version that a process answered, unless a later one has answered.
func (o *observation) setVersion(now time.Time, incarnation core.Incarnation, model fleet.Model, version fleet.WeightsVersion) {
	if o.versions == nil || incarnation > o.incarnation {
		o.versions, o.incarnation = map[fleet.Model]observedVersion{}, incarnation
	}
	if incarnation == o.incarnation {
		o.versions[model] = observedVersion{version: version, at: now}
	}
}

// sweep removes expired observations.
func (o *serverObservations) sweep(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, observed := range o.servers {
		if now.Sub(observed.updatedAt) > observationTTL && now.After(observed.coldUntil) {
			delete(o.servers, id)
		}
	}
}

// version returns the version in a response of this process within observationTTL, or 0.
func (o *serverObservations) version(now time.Time, server notices.Lifetime, model fleet.Model) fleet.WeightsVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	observed := o.servers[server.Server]
	answered := observed.versions[model]
	if observed.incarnation != server.Incarnation || now.Sub(answered.at) > observationTTL {
		return 0
	}
	return answered.version
}

// coldUntil returns when the server stops being cold according to a response, or
// the zero time.
func (o *serverObservations) coldUntil(server core.InstanceID) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.servers[server].coldUntil
}

// observer implements direct.Observer.
type observer struct {
	gateway   *Gateway
	service   fleet.ServiceName
	model     fleet.Model
	requestID string
	// traits are what other requests may share with this one; see call.traits.
	traits []fleet.Trait
	// cost is that of the call, or nil.
	cost *requestCost
}

// AnswerReceived implements direct.Observer.
func (o observer) AnswerReceived(server notices.Lifetime, model fleet.Model, version fleet.WeightsVersion, coldFor time.Duration) {
	o.gateway.observations.record(o.gateway.clock.Now(), server, model, version, coldFor)
}

// StartAttempt implements direct.Observer.
func (o observer) StartAttempt(attempt direct.Attempt) direct.AttemptObserver {
	return &monitoredAttempt{
		gateway: o.gateway, server: attempt.Server.Server,
		TrackedRequest: o.gateway.stallDetector.Track(time.Now(), attempt.Server.Server, o.gateway.stallTimeout(o.service), attempt.ReportStalled),
		wait:           o.gateway.queueWaits.track(o.gateway.clock.Now(), o, attempt),
	}
}

// monitoredAttempt implements direct.AttemptObserver by adding the current time.
type monitoredAttempt struct {
	*stall.TrackedRequest
	gateway *Gateway
	server  core.InstanceID
	wait    *trackedWait
}

// DataReceived implements direct.AttemptObserver.
func (m *monitoredAttempt) DataReceived() {
	if m.TrackedRequest.RecordActivity(time.Now()) {
		m.gateway.restoreResumedServer(m.server)
	}
	m.wait.dataReceived()
}

// Suspended implements direct.AttemptObserver.
func (m *monitoredAttempt) Suspended() {
	m.Suspend()
	m.wait.suspended()
}

// Completed implements direct.AttemptObserver.
func (m *monitoredAttempt) Completed() { m.wait.close(true) }

// Close implements direct.AttemptObserver.
func (m *monitoredAttempt) Close() {
	m.TrackedRequest.Close()
	m.wait.close(false)
}

// InvalidHeader implements direct.Observer.
func (o observer) InvalidHeader(server core.InstanceID, header string, err error) {
	o.gateway.requestLog.WithError(err).WithField("server", server).WithField("header", header).Warn("Ignoring an invalid response header.")
}
