package staging

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/core/netdial"
	"currantusher.dev/core/pause"
)

const (
	// peerWait is how long an agent waits for a piece that it was asked for
	// before it says that it does not have it.
	peerWait = time.Second
	// peerDialTimeout bounds the wait for a connection, after which the next
	// source is asked; regions are a few milliseconds apart.
	peerDialTimeout = 500 * time.Millisecond
	// peerIdleTime keeps connections over the pauses within one version.
	peerIdleTime = 5 * time.Second
	// manifestPoll is how often a waiting question looks for the manifest, a
	// small part of peerWait.
	manifestPoll = 20 * time.Millisecond
	// awaitSuffix asks whether a piece is there, without its content.
	awaitSuffix = ".ready"
	// regionField names the asking agent's region.
	regionField = "region"
	// maxPeerBytes bounds what a peer sends.
	maxPeerBytes = 4 << 20
)

// HTTPPeers implements Peers over HTTP.
type HTTPPeers struct {
	client *http.Client
	query  string
}

// NewHTTPPeers returns Peers that open a few connections to each agent, for an
// agent in a region.
func NewHTTPPeers(region core.Region) *HTTPPeers {
	query := url.Values{regionField: {string(region)}}
	return &HTTPPeers{query: "?" + query.Encode(), client: &http.Client{Transport: &http.Transport{
		DialContext: netdial.New(peerDialTimeout).DialContext, MaxIdleConnsPerHost: 2 * laneWidth, IdleConnTimeout: peerIdleTime, DisableCompression: true,
	}}}
}

// Manifest implements Peers.
func (p *HTTPPeers) Manifest(ctx context.Context, peer Agent, key VersionKey) ([][32]byte, error) {
	body, _, err := p.get(ctx, peer, path(key, "manifest"))
	if err != nil {
		return nil, err
	}
	var digests [][32]byte
	if err := cbor.Unmarshal(body, &digests); err != nil {
		return nil, fmt.Errorf("manifest of %s: %w", peer.ID, err)
	}
	return digests, nil
}

// AwaitPiece implements Peers.
func (p *HTTPPeers) AwaitPiece(ctx context.Context, peer Agent, key VersionKey, piece int) error {
	_, _, err := p.get(ctx, peer, path(key, strconv.Itoa(piece)+awaitSuffix))
	return err
}

// Piece implements Peers.
func (p *HTTPPeers) Piece(ctx context.Context, peer Agent, key VersionKey, piece int) ([]byte, time.Duration, error) {
	return p.get(ctx, peer, path(key, strconv.Itoa(piece)))
}

func path(key VersionKey, what string) string {
	return fmt.Sprintf("/weights/%s/%d/%s", url.PathEscape(string(key.Model)), key.Version, what)
}

// get returns an answer's body and how long it took from its first byte on.
func (p *HTTPPeers) get(ctx context.Context, peer Agent, path string) ([]byte, time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.Addr+path+p.query, nil)
	if err != nil {
		return nil, 0, err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	began := time.Now()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPeerBytes))
	switch {
	case err != nil:
		return nil, time.Since(began), fmt.Errorf("answer of %s: %w", peer.ID, err)
	case response.StatusCode == http.StatusNotFound:
		return nil, 0, core.NewRefusal(core.CodeUnknownEntity, 0, "%s does not have it", peer.ID)
	case response.StatusCode != http.StatusOK:
		return nil, 0, fmt.Errorf("answer of %s: status %d", peer.ID, response.StatusCode)
	}
	return body, time.Since(began), nil
}

// Handler serves other agents.
func (m *Manager) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}/{what}", m.servePeer)
	return mux
}

func (m *Manager) servePeer(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.PathValue("version"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	key := VersionKey{Model: fleet.Model(r.PathValue("model")), Version: fleet.WeightsVersion(version)}
	ctx, cancel := context.WithTimeout(r.Context(), peerWait)
	defer cancel()
	held := m.awaitManifest(ctx, key)
	if held == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, status := m.answerPeer(ctx, held, r.PathValue("what"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if err := m.uplink.send(r.Context(), w, body, m.isCrossing(r)); err != nil {
		m.config.Log.WithError(err).WithField("piece", r.PathValue("what")).Info("Piece not sent whole.")
	}
}

// isCrossing reports whether the asking agent is in another region, whose other
// agents wait for the piece too.
func (m *Manager) isCrossing(r *http.Request) bool {
	region := r.URL.Query().Get(regionField)
	return region != "" && core.Region(region) != m.config.Self.Region
}

func (m *Manager) answerPeer(ctx context.Context, held *pieces, what string) ([]byte, int) {
	if what == "manifest" {
		body, err := cbor.Marshal(held.digests)
		if err != nil {
			m.config.Log.WithError(err).Error("Manifest not encoded.")
			return nil, http.StatusInternalServerError
		}
		return body, http.StatusOK
	}
	number, onlyAwaits := strings.CutSuffix(what, awaitSuffix)
	num, err := strconv.Atoi(number)
	if err != nil || num < 0 || num >= len(held.digests) {
		return nil, http.StatusBadRequest
	}
	content, _ := held.get(num)
	if content == nil && m.declines(held.key, num) {
		return nil, http.StatusTooManyRequests
	}
	content = held.wait(ctx, num)
	switch {
	case content == nil:
		return nil, http.StatusNotFound
	case onlyAwaits:
		return nil, http.StatusOK
	default:
		return content, http.StatusOK
	}
}

// awaitManifest returns a version's pieces once its manifest is here, or nil
// when ctx ends or the agent is past the version.
func (m *Manager) awaitManifest(ctx context.Context, key VersionKey) *pieces {
	for ctx.Err() == nil {
		if held := m.holds(key); held != nil {
			return held
		}
		m.mu.Lock()
		current, newest := m.jobs[key], m.newest[key.Model]
		m.mu.Unlock()
		if current == nil && newest > key.Version {
			return nil
		}
		if current != nil {
			current.requestPieces()
		}
		pause.For(ctx, manifestPoll)
	}
	return nil
}
