// Package versionages exchanges between agents and entries since when versions of weights
// have been configured. A daemon that reads a version late learns its age from one that read
// it in time, and an entry that has restarted learns it from the agents.
package versionages

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core/fleet"
	"currantusher.dev/core/httpcall"
	"currantusher.dev/core/netdial"
	"currantusher.dev/tables/watch"
)

// Path is the HTTP path of Handler.
const Path = "/version-ages"

const (
	// maxAges bounds the ages in a request or a response.
	maxAges = 128
	// MaxBodyBytes bounds the body of a request or a response.
	MaxBodyBytes = 32 << 10
	// callTimeout bounds an exchange. Ages are too low by the time that they travel.
	callTimeout = 400 * time.Millisecond
)

// Age is the time since a version has been configured, as far as the sender knows.
type Age struct {
	Model   fleet.Model          `cbor:"1,keyasint"`
	Version fleet.WeightsVersion `cbor:"2,keyasint"`
	Age     time.Duration        `cbor:"3,keyasint"`
	// First is the oldest of the versions that are merged into Version; 0 means Version.
	First fleet.WeightsVersion `cbor:"4,keyasint,omitempty"`
}

// message is the body of a request and of a response.
type message struct {
	Ages []Age `cbor:"1,keyasint,omitempty"`
}

// Known returns the ages at now of the versions of a view that are or will have to be in
// force, without those that the daemon only estimates or does not know, or that it may have
// read late. A version must be in force when inForceWithin has passed since it was configured.
func Known(view *watch.View, now time.Time, inForceWithin time.Duration) []Age {
	limit := max(2, maxAges/max(1, len(view.Targets)))
	var list []Age
	for model := range view.Targets {
		for _, target := range view.EffectiveTargets(now, model, inForceWithin, limit) {
			if target.IsReportable(now) {
				list = append(list, Age{Model: model, Version: target.Version, Age: now.Sub(target.Since), First: target.First})
			}
		}
	}
	// The youngest versions are those that do not have to be in force yet.
	slices.SortFunc(list, func(a, b Age) int { return cmp.Compare(a.Age, b.Age) })
	return list[:min(len(list), maxAges)]
}

type acceptedKey struct{}

// WithAcceptTime returns the context of a connection that was accepted at a time.
func WithAcceptTime(ctx context.Context, at time.Time) context.Context {
	return context.WithValue(ctx, acceptedKey{}, at)
}

// Handler serves exchanges. known returns the ages that this daemon knows, and receive is
// called with those of the caller and the time at which they were true at the latest: the
// caller has measured them before it connected, and its request may have waited since. now is
// the clock, which is that of WithAcceptTime as well.
func Handler(known func() []Age, receive func(ages []Age, at time.Time), now func() time.Time, log *logrus.Entry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		at, ok := request.Context().Value(acceptedKey{}).(time.Time)
		if !ok {
			at = now()
		}
		ages, err := decode(http.MaxBytesReader(w, request.Body, MaxBodyBytes))
		if err != nil {
			log.WithError(err).WithField("from", request.RemoteAddr).Warn("Refused a report of versions' ages that cannot be read.")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		receive(ages, at)
		body, err := cbor.Marshal(message{Ages: known()})
		if err != nil {
			log.WithError(err).Error("Could not encode the ages of versions.")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		// A failed write is ignored, because the client asks again.
		_, _ = w.Write(body)
	})
}

// decode reads a message and drops invalid ages.
func decode(r io.Reader) ([]Age, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxBodyBytes {
		return nil, errTooLong
	}
	var m message
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	var valid []Age
	for _, age := range m.Ages[:min(len(m.Ages), maxAges)] {
		if age.Version >= 1 && age.Age >= 0 && age.First >= 0 {
			valid = append(valid, age)
		}
	}
	return valid, nil
}

var errTooLong = errors.New("the message is longer than allowed")

// ErrUnsupported reports that the other daemon is of a build without exchanges.
var ErrUnsupported = errors.New("the daemon exchanges no ages of versions")

// agesAnswer bounds an answer of Handler.
var agesAnswer = httpcall.Answer{Kind: "entry's ages of versions", MaxBodyBytes: MaxBodyBytes, Timeout: callTimeout}

// Client makes exchanges with the Handlers of other daemons. It is safe for concurrent use.
type Client struct{ http *httpcall.Client }

// NewClient returns a Client that tells faults the answers over their bound; faults may be
// nil.
func NewClient(faults *httpcall.Faults) *Client {
	return &Client{http: httpcall.New(httpcall.Config{Dial: netdial.New(callTimeout).DialContext, Faults: faults})}
}

// Exchange sends the ages that this daemon knows to the daemon at addr, and returns those
// that it knows. known returns the ages as of its call.
func (c *Client) Exchange(ctx context.Context, addr string, known func() []Age) ([]Age, error) {
	// The bound counts from before the ages were taken: it excludes a standstill since.
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := cbor.Marshal(message{Ages: known()})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// The next exchange is with another daemon.
	request.Close = true
	response, err := c.http.Do(request, agesAnswer)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return decode(response.Body)
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return nil, ErrUnsupported
	default:
		return nil, fmt.Errorf("the daemon returned status %d", response.StatusCode)
	}
}

// Report passes ages that were received from a source at now to a Follower. They were sent
// after sentAfter if this process has run since.
func Report(follower *watch.Follower, source watch.VersionSource, ages []Age, now, sentAfter time.Time) {
	for _, age := range ages {
		follower.ReportVersion(watch.VersionReport{
			Model: age.Model, First: age.First, Version: age.Version, Since: now.Add(-age.Age), SentAfter: sentAfter, Source: source,
		})
	}
}
