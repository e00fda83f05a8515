package swarm

import (
	"time"

	"golang.org/x/sync/errgroup"

	"currantusher.dev/core"
	"currantusher.dev/weights/budget"
)

// fetchExtent draws the chunks of an extent that no near peer delivers from a
// source, on behalf of the region.
func (d *download) fetchExtent(extent int, takeover bool, now time.Time) {
	size := extentChunks(len(d.chunks))
	from := extent * size
	to := min(from+size, len(d.chunks))
	if d.extents[extent] || from >= to {
		return
	}
	chunks := d.plan.uncovered(from, to)
	if len(chunks) == 0 {
		d.fetched = append(d.fetched, uint32(extent))
		d.nudge()
		return
	}
	for _, chunk := range chunks {
		d.plan.take(chunk)
	}
	d.extents[extent] = true
	d.progressAt = now
	ask := budget.GrantRequest{Extent: uint32(extent), ExtentSize: to - from, Takeover: takeover}
	owned := map[int]bool{}
	for _, chunk := range chunks {
		if d.unused[chunk] {
			delete(d.unused, chunk)
			owned[chunk] = true
			continue
		}
		ask.Chunks = append(ask.Chunks, chunk-from)
	}
	d.spawn(func() { d.drawExtent(ask, from, chunks, owned) })
}

// drawExtent reads granted chunks from the origin. Chunks without a grant are
// left to far peers and the weight store.
func (d *download) drawExtent(ask budget.GrantRequest, from int, chunks []int, granted map[int]bool) {
	var grant budget.Grant
	if len(ask.Chunks) > 0 {
		grant, _ = d.acquire(d.ctx, ask)
	}
	if grant.HeldByRegion && len(granted) == 0 {
		d.post(extentDone{extent: int(ask.Extent), held: true, left: chunks})
		return
	}
	for _, chunk := range grant.Chunks {
		granted[from+chunk] = true
	}
	var refused []int
	group := errgroup.Group{}
	group.SetLimit(sourceParallel)
	for _, chunk := range chunks {
		if !granted[chunk] {
			refused = append(refused, chunk)
			continue
		}
		group.Go(func() error {
			d.drawChunk(chunk, true)
			return nil
		})
	}
	_ = group.Wait()
	d.post(extentDone{extent: int(ask.Extent), left: refused})
}

func (d *download) drawChunk(chunk int, origin bool) {
	digest := d.chunks[chunk].Digest
	var content []byte
	var err error
	if origin {
		content, err = d.readOrigin(d.ctx, digest, d.config.Sources.Origin.Chunk)
	} else {
		content, err = d.readStore(d.ctx, digest, d.config.Sources.WeightStore.Chunk)
	}
	if err != nil {
		d.post(sourceDone{chunk: chunk, origin: origin, readErr: err})
		return
	}
	d.post(sourceDone{chunk: chunk, stageErr: d.config.Staging.PutChunk(d.ctx, digest, content)})
}

// sourceDone ends a fetch from a source.
type sourceDone struct {
	chunk    int
	origin   bool
	readErr  error
	stageErr error
}

func (e sourceDone) apply(d *download, now time.Time) {
	d.plan.release(e.chunk)
	if e.readErr == nil {
		d.staged(e.chunk, e.stageErr, now)
		return
	}
	d.config.Log.WithError(e.readErr).Debug("Source failed.")
	if e.origin && core.ExecutionOf(e.readErr) == core.ExecutionNotRun {
		d.unused[e.chunk] = true
	}
	if !e.origin || !d.fetchElsewhere(e.chunk) {
		d.retryLater(e.chunk)
	}
}

// retryChunk turns to the sources again for a chunk that one failed to give.
type retryChunk struct {
	chunk int
}

func (d *download) retryLater(chunk int) {
	span := d.jittered(d.config.RetryDelay)
	d.spawn(func() {
		pause(d.ctx, span)
		d.post(retryChunk{chunk: chunk})
	})
}

func (e retryChunk) apply(d *download, now time.Time) {
	if len(d.plan.uncovered(e.chunk, e.chunk+1)) == 0 {
		return
	}
	extent := e.chunk / extentChunks(len(d.chunks))
	if d.extents[extent] {
		d.retryLater(e.chunk)
		return
	}
	d.fetchExtent(extent, true, now)
}

// extentDone ends the work on an extent; left were not fetched.
type extentDone struct {
	extent int
	held   bool
	left   []int
}

func (e extentDone) apply(d *download, now time.Time) {
	delete(d.extents, e.extent)
	for _, chunk := range e.left {
		d.plan.release(chunk)
	}
	if e.held {
		if d.heldAt[e.extent].IsZero() {
			d.heldAt[e.extent] = now
		}
		return
	}
	for _, chunk := range e.left {
		d.fetchElsewhere(chunk)
	}
	size := extentChunks(len(d.chunks))
	from := e.extent * size
	if len(d.plan.uncovered(from, min(from+size, len(d.chunks)))) == 0 {
		d.fetched = append(d.fetched, uint32(e.extent))
	}
	d.nudge()
}

// fetchElsewhere turns to a far peer or, when none offers the chunk, to the
// weight store. It reports whether the chunk can come from there.
func (d *download) fetchElsewhere(chunk int) bool {
	d.plan.wantFar.set(chunk)
	d.wantFar = true
	if d.plan.cover(chunk) >= coverNear {
		return true
	}
	if d.config.Sources.WeightStore == nil {
		return false
	}
	if d.plan.take(chunk) {
		d.spawn(func() { d.drawChunk(chunk, false) })
	}
	return true
}
