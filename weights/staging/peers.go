package staging

import (
	"context"
	"errors"
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
	"currantusher.dev/core/httpcall"
	"currantusher.dev/core/netdial"
	"currantusher.dev/core/pause"
)

const (
	// pieceWaitTimeout is how long the handler waits for a requested piece
	// before it answers that it does not have the piece.
	pieceWaitTimeout = time.Second
	// peerDialTimeout bounds the wait for a connection, after which the next
	// source is tried. The latency between regions is a few milliseconds.
	peerDialTimeout = 500 * time.Millisecond
	// peerIdleTimeout keeps connections open between the pieces of a version.
	peerIdleTimeout = 5 * time.Second
	// manifestPollPeriod is the interval at which a waiting request checks for
	// the manifest, a small part of pieceWaitTimeout.
	manifestPollPeriod = 20 * time.Millisecond
	// readySuffix marks a request that waits for a piece without fetching it.
	readySuffix = ".ready"
	// urgentQuery marks a request whose sender passes the piece on to others.
	urgentQuery = "urgent=1"
	// manifestDigestBytes is the size of an encoded digest, and manifestHeadBytes bounds the
	// rest of a manifest.
	manifestDigestBytes = 34
	manifestHeadBytes   = 16
	// maxEmptyBytes bounds responses without a piece or manifest, which hold at most the text
	// of an error.
	maxEmptyBytes = 4 << 10
	// unknownPieces and unknownPieceBytes apply until the size of the weights is known.
	unknownPieces     = 4 << 10
	unknownPieceBytes = 4 << 20
)

var (
	// errNoResponse reports that an agent did not respond within sourceTimeout.
	errNoResponse = errors.New("the agent did not respond in time")
	// errSourceBusy reports that an agent has a piece, but that the transfer did not
	// begin within sourceTimeout because others queue at its link.
	errSourceBusy = errors.New("the agent is busy with other transfers")
	// errNotAssigned reports that an agent does not have a piece and waits for another
	// one to fetch it, because its list of agents differs.
	errNotAssigned = errors.New("the agent does not fetch the piece for others")
)

// HTTPPeers implements Peers over HTTP.
type HTTPPeers struct {
	client             *httpcall.Client
	pieces, pieceBytes httpcall.Largest
}

// NewHTTPPeers returns a client that keeps a few idle connections to each agent.
func NewHTTPPeers() *HTTPPeers { return NewReportingHTTPPeers(nil) }

// NewReportingHTTPPeers returns a client that reports answers over their bound to faults.
func NewReportingHTTPPeers(faults *httpcall.Faults) *HTTPPeers {
	return &HTTPPeers{client: httpcall.New(httpcall.Config{
		Dial: netdial.New(peerDialTimeout).DialContext, MaxIdleConns: 2 * transfersPerSource, IdleTimeout: peerIdleTimeout, Faults: faults,
	})}
}

// SetWeightsSize sets the size of the weights. The bounds of manifests and pieces are of the
// largest size that was set, because versions of different sizes may be transferred at the
// same time.
func (p *HTTPPeers) SetWeightsSize(size fleet.WeightsSize) {
	p.pieces.Raise(int64(size.Pieces))
	p.pieceBytes.Raise(int64(size.PieceBytes))
}

func (p *HTTPPeers) manifestAnswer() httpcall.Answer {
	pieces := p.pieces.Or(unknownPieces)
	return httpcall.Answer{Kind: "agent's manifest", MaxBodyBytes: max(pieces*manifestDigestBytes+manifestHeadBytes, maxEmptyBytes)}
}

func (p *HTTPPeers) pieceAnswer() httpcall.Answer {
	return httpcall.Answer{Kind: "agent's piece", MaxBodyBytes: max(p.pieceBytes.Or(unknownPieceBytes), maxEmptyBytes)}
}

// Manifest implements Peers.
func (p *HTTPPeers) Manifest(ctx context.Context, peer Agent, key VersionKey) ([][32]byte, error) {
	body, _, err := p.get(ctx, peer, weightsPath(key, "manifest"), p.manifestAnswer())
	if err != nil {
		return nil, err
	}
	var digests [][32]byte
	if err := cbor.Unmarshal(body, &digests); err != nil {
		return nil, fmt.Errorf("decode manifest from agent %s: %w", peer.ID, err)
	}
	return digests, nil
}

// AwaitPiece implements Peers.
func (p *HTTPPeers) AwaitPiece(ctx context.Context, peer Agent, key VersionKey, piece int) error {
	_, _, err := p.get(ctx, peer, weightsPath(key, strconv.Itoa(piece)+readySuffix), httpcall.Answer{Kind: "agent's readiness", MaxBodyBytes: maxEmptyBytes})
	return err
}

// Piece implements Peers.
func (p *HTTPPeers) Piece(ctx context.Context, peer Agent, key VersionKey, piece int, urgent bool) ([]byte, time.Duration, error) {
	path := weightsPath(key, strconv.Itoa(piece))
	if urgent {
		path += "?" + urgentQuery
	}
	content, transferTime, err := p.get(ctx, peer, path, p.pieceAnswer())
	if errors.Is(err, errNoResponse) {
		return nil, 0, errSourceBusy
	}
	return content, transferTime, err
}

func weightsPath(key VersionKey, item string) string {
	return fmt.Sprintf("/weights/%s/%d/%s", url.PathEscape(string(key.Model)), key.Version, item)
}

// get returns the body of a response and its transfer time, which starts when
// the response header has arrived. A piece's header is sent when its transfer begins.
func (p *HTTPPeers) get(ctx context.Context, peer Agent, path string, answer httpcall.Answer) ([]byte, time.Duration, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(sourceTimeout, cancel)
	defer timeout.Stop()
	request, err := http.NewRequestWithContext(callCtx, http.MethodGet, "http://"+peer.Addr+path, nil)
	if err != nil {
		return nil, 0, err
	}
	response, err := p.client.Do(request, answer)
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		return nil, 0, errNoResponse
	}
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	timeout.Reset(sendTimeout)
	start := time.Now()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return nil, time.Since(start), fmt.Errorf("read response of agent %s: %w", peer.ID, err)
	case response.StatusCode == http.StatusNotFound:
		return nil, 0, core.NewRefusal(core.CodeUnknownEntity, 0, "agent %s does not have the requested item", peer.ID)
	case response.StatusCode == http.StatusConflict:
		return nil, 0, errNotAssigned
	case response.StatusCode != http.StatusOK:
		return nil, 0, fmt.Errorf("response of agent %s: unexpected status %d", peer.ID, response.StatusCode)
	}
	return body, time.Since(start), nil
}

// Handler returns the HTTP handler that serves manifests and pieces to other
// agents.
func (m *Manager) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}/{what}", m.serveWeights)
	return mux
}

func (m *Manager) serveWeights(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.PathValue("version"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	key := VersionKey{Model: fleet.Model(r.PathValue("model")), Version: fleet.WeightsVersion(version)}
	ctx, cancel := context.WithTimeout(r.Context(), pieceWaitTimeout)
	defer cancel()
	if m.piecesOf(key) == nil && m.engineUnreachable.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	pieces := m.awaitManifest(ctx, key)
	if pieces == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, status := m.weightsResponse(ctx, pieces, r.PathValue("what"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if err := m.uplink.send(r.Context(), w, status, body, r.URL.RawQuery == urgentQuery); err != nil {
		m.config.Log.WithError(err).WithField("piece", r.PathValue("what")).Info("Sending a piece to another agent failed before its end.")
	}
}

func (m *Manager) weightsResponse(ctx context.Context, pieces *pieceSet, item string) ([]byte, int) {
	if item == "manifest" {
		body, err := cbor.Marshal(pieces.digests)
		if err != nil {
			m.config.Log.WithError(err).Error("Encoding the manifest failed.")
			return nil, http.StatusInternalServerError
		}
		return body, http.StatusOK
	}
	pieceNum, onlyReady := strings.CutSuffix(item, readySuffix)
	num, err := strconv.Atoi(pieceNum)
	if err != nil || num < 0 || num >= len(pieces.digests) {
		return nil, http.StatusBadRequest
	}
	content, _ := pieces.get(num)
	if content == nil && m.shouldDecline(pieces.key, num) {
		return nil, http.StatusTooManyRequests
	}
	if content == nil && m.engineUnreachable.Load() {
		return nil, http.StatusServiceUnavailable
	}
	if content == nil && !m.isAssigned(pieces.key, num) {
		return nil, http.StatusConflict
	}
	content = pieces.await(ctx, num)
	switch {
	case content == nil:
		return nil, http.StatusNotFound
	case onlyReady:
		return nil, http.StatusOK
	default:
		return content, http.StatusOK
	}
}

// awaitManifest waits for the manifest of a version and returns its piece set. It
// returns nil when ctx is done, or when a newer version has replaced the version
// and its job has ended.
func (m *Manager) awaitManifest(ctx context.Context, key VersionKey) *pieceSet {
	for ctx.Err() == nil {
		if pieces := m.piecesOf(key); pieces != nil {
			return pieces
		}
		m.mu.Lock()
		activeJob, newest := m.jobs[key], m.newestVersions[key.Model]
		m.mu.Unlock()
		if activeJob == nil && newest > key.Version {
			return nil
		}
		if activeJob != nil {
			activeJob.requestPieces()
		}
		pause.For(ctx, manifestPollPeriod)
	}
	return nil
}
