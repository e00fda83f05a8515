package staging

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/pause"
)

const (
	// laneWidth is how many pieces an agent asks of one source at once: one
	// arrives while the next is asked for.
	laneWidth = 2
	// originFetchers bounds the questions of one agent to the origin.
	originFetchers = 3
	// sourceTimeout bounds one try at one source, the source's own wait for
	// the piece included. A piece takes 35 ms alone on the slowest link, and
	// shares it with up to ten others.
	sourceTimeout = 1800 * time.Millisecond
	// asksAgain is how often a source that does not have a piece yet is asked
	// again before the next one, which waits for the same source.
	asksAgain = 2
	// shunTime is how long a source that failed is not asked.
	shunTime = 2 * time.Second
	// maxSpoilt is the number of wrong contents of one piece after which the
	// manifest itself is doubted.
	maxSpoilt = 3
	// manifestPiece stands for the manifest where sources are ranked.
	manifestPiece = -1
)

// errManifest reports that a manifest does not fit the pieces.
var errManifest = errors.New("the manifest is doubtful")

func isMissing(err error) bool { return core.CodeOf(err) == core.CodeUnknownEntity }

// fetcher brings the pieces of one version to this agent.
type fetcher struct {
	manager *Manager
	log     *logrus.Entry
	wanted  TargetVersion
	plan    FetchPlan
	origin  chan struct{}

	mu     sync.Mutex
	shun   map[core.InstanceID]time.Time
	from   map[string]int
	spoilt map[int]int
}

func newFetcher(m *Manager, log *logrus.Entry, wanted TargetVersion, plan FetchPlan) *fetcher {
	return &fetcher{
		manager: m, log: log, wanted: wanted, plan: plan,
		origin: make(chan struct{}, originFetchers),
		shun:   map[core.InstanceID]time.Time{}, from: map[string]int{}, spoilt: map[int]int{},
	}
}

// counts returns how many pieces came from which kind of source.
func (f *fetcher) counts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.from
}

// pieces returns the version with all of its pieces.
func (f *fetcher) pieces(ctx context.Context) (*pieces, error) {
	held := f.manager.holds(f.wanted.VersionKey)
	fresh := held == nil
	if fresh {
		digests, err := f.manifest(ctx, false)
		if err != nil {
			return nil, err
		}
		held = newPieces(f.wanted.VersionKey, digests)
		f.manager.hold(held)
	}
	if held.left() > 0 {
		f.fromStage(ctx, held)
	}
	err := f.fetchAll(ctx, held)
	if errors.Is(err, errManifest) {
		f.log.Warn("Pieces do not fit the manifest; asking the origin for it again.")
		digests, manifestErr := f.manifest(ctx, true)
		if manifestErr != nil {
			return nil, manifestErr
		}
		next := newPieces(f.wanted.VersionKey, digests)
		f.manager.hold(next)
		return nil, err
	}
	return held, err
}

// manifest gets the digests, from the origin alone when an earlier manifest was
// wrong.
func (f *fetcher) manifest(ctx context.Context, originOnly bool) ([][32]byte, error) {
	if !originOnly {
		for _, peer := range f.plan.Sources(manifestPiece) {
			digests, err := f.peerManifest(ctx, peer)
			if err == nil && len(digests) == f.wanted.Pieces {
				return digests, nil
			}
			if err == nil {
				f.log.WithField("peer", peer.ID).WithField("length", len(digests)).Warn("Manifest of another length; others are asked.")
			}
			f.shunFor(peer, err)
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
		}
	}
	bounded, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	digests, err := f.wanted.Origin.Manifest(bounded, f.wanted.Model, f.wanted.Version)
	if err != nil {
		return nil, fmt.Errorf("manifest from the origin: %w", err)
	}
	if len(digests) != f.wanted.Pieces {
		return nil, fmt.Errorf("manifest with %d digests, want %d", len(digests), f.wanted.Pieces)
	}
	return digests, nil
}

func (f *fetcher) peerManifest(ctx context.Context, peer Agent) ([][32]byte, error) {
	bounded, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	return f.manager.config.Peers.Manifest(bounded, peer, f.wanted.VersionKey)
}

// fromStage takes pieces that lie beside the engine already, after a restart
// of either.
func (f *fetcher) fromStage(ctx context.Context, held *pieces) {
	for num := range held.digests {
		if content, _ := held.get(num); content != nil {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, engineTimeout)
		content, err := f.manager.config.Engine.Staged(bounded, f.wanted.Model, num)
		cancel()
		if isMissing(err) {
			continue
		}
		if err != nil {
			f.log.WithError(err).Info("Staged pieces not read.")
			return
		}
		if held.add(num, content) {
			f.count("stage")
		}
	}
}

func (f *fetcher) count(source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.from[source]++
}

// fetchAll fetches the missing pieces, side by side from each source.
func (f *fetcher) fetchAll(ctx context.Context, held *pieces) error {
	running, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wait sync.WaitGroup
	for _, lane := range f.lanes(held) {
		queue := make(chan int, len(lane))
		for _, num := range lane {
			queue <- num
		}
		close(queue)
		for range laneWidth {
			wait.Go(func() {
				for num := range queue {
					if err := f.fetch(running, held, num); err != nil {
						cancel(err)
						return
					}
				}
			})
		}
	}
	wait.Wait()
	if held.left() == 0 {
		return nil
	}
	return context.Cause(running)
}

// lanes groups the missing pieces by their first source, each in the order in
// which that source gets them.
func (f *fetcher) lanes(held *pieces) map[core.InstanceID][]int {
	lanes := map[core.InstanceID][]int{}
	for num := range held.digests {
		if content, _ := held.get(num); content != nil {
			continue
		}
		var first core.InstanceID
		if sources := f.plan.Sources(num); len(sources) > 0 {
			first = sources[0].ID
		}
		lanes[first] = append(lanes[first], num)
	}
	return lanes
}

// fetch asks source after source until a piece is here and staged.
func (f *fetcher) fetch(ctx context.Context, held *pieces, num int) error {
	for ctx.Err() == nil {
		for _, peer := range f.plan.Sources(num) {
			if f.isShunned(peer) {
				continue
			}
			content, err := f.fromPeer(ctx, peer, num)
			for again := 0; again < asksAgain && isMissing(err); again++ {
				content, err = f.fromPeer(ctx, peer, num)
			}
			if err != nil {
				f.shunFor(peer, err)
				continue
			}
			if f.take(ctx, held, num, content, peerKind(f.plan, peer)) {
				return nil
			}
		}
		content, err := f.fromOrigin(ctx, num)
		if core.CodeOf(err) == core.CodeSuperseded {
			return err
		}
		if err == nil && f.take(ctx, held, num, content, "origin") {
			return nil
		}
		if f.isDoubtful(num) {
			return errManifest
		}
		if err != nil && ctx.Err() == nil {
			f.log.WithError(err).WithField("piece", num).Info("Piece not brought from the origin yet.")
		}
		pause.For(ctx, retryPause)
	}
	return ctx.Err()
}

func peerKind(plan FetchPlan, peer Agent) string {
	if peer.Region == plan.self.Region {
		return "region"
	}
	return "home"
}

// take keeps a piece, stages it and reports whether it is the right one.
func (f *fetcher) take(ctx context.Context, held *pieces, num int, content []byte, source string) bool {
	if !held.add(num, content) {
		f.mu.Lock()
		f.spoilt[num]++
		f.mu.Unlock()
		f.log.WithFields(logrus.Fields{"piece": num, "source": source}).Warn("Piece with a wrong digest.")
		return false
	}
	f.count(source)
	f.manager.stageEarly(ctx, f.log, f.wanted, held, num)
	return true
}

func (f *fetcher) isDoubtful(num int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.spoilt[num] >= maxSpoilt
}

// fromPeer waits until a peer has the piece, and then for a place on this
// agent's link.
func (f *fetcher) fromPeer(ctx context.Context, peer Agent, num int) ([]byte, error) {
	peers := f.manager.config.Peers
	waiting, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	if err := peers.AwaitPiece(waiting, peer, f.wanted.VersionKey, num); err != nil {
		return nil, err
	}
	// Others of this region wait for the pieces that this agent brings in.
	if err := f.manager.downlink.acquire(ctx, f.plan.Owns(num)); err != nil {
		return nil, err
	}
	sending, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	content, took, err := peers.Piece(sending, peer, f.wanted.VersionKey, num)
	if err != nil && took == 0 {
		// Nothing came, which tells nothing of the own link.
		f.manager.downlink.abandon()
		return nil, err
	}
	f.manager.downlink.release(time.Now(), peer.ID, took)
	return content, err
}

func (f *fetcher) fromOrigin(ctx context.Context, num int) ([]byte, error) {
	select {
	case f.origin <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-f.origin }()
	bounded, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	return f.wanted.Origin.Piece(bounded, f.wanted.Model, f.wanted.Version, num)
}

func (f *fetcher) isShunned(peer Agent) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.shun[peer.ID])
}

// shunFor leaves a source out for a while, unless it only lacks the piece.
func (f *fetcher) shunFor(peer Agent, err error) {
	if err == nil || isMissing(err) || errors.Is(err, context.Canceled) {
		return
	}
	f.mu.Lock()
	f.shun[peer.ID] = time.Now().Add(shunTime)
	f.mu.Unlock()
	f.log.WithError(err).WithField("peer", peer.ID).Info("Source failed; others are asked.")
}
