package swarm

import (
	"time"

	"golang.org/x/sync/errgroup"

	"currantusher.dev/core"
	"currantusher.dev/weights/budget"
)

// startExtentFetch starts to fetch from a source the missing chunks of an extent
// that no near peer can deliver. Other downloaders of the region then receive
// them from this one. takeover marks an extent whose previous holder is late.
func (d *download) startExtentFetch(extent int, takeover bool, now time.Time) {
	size := extentChunks(len(d.chunks))
	from := extent * size
	to := min(from+size, len(d.chunks))
	if d.activeExtents[extent] || from >= to {
		return
	}
	chunks := d.planner.uncoveredChunks(from, to)
	if len(chunks) == 0 {
		d.completedExtents = append(d.completedExtents, uint32(extent))
		d.triggerAnnounce()
		return
	}
	for _, chunk := range chunks {
		d.planner.markRequested(chunk)
	}
	d.activeExtents[extent] = true
	d.lastProgress = now
	request := budget.GrantRequest{Extent: uint32(extent), ExtentSize: to - from, Takeover: takeover}
	alreadyGranted := map[int]bool{}
	for _, chunk := range chunks {
		if d.unusedGrants[chunk] {
			delete(d.unusedGrants, chunk)
			alreadyGranted[chunk] = true
			continue
		}
		request.Chunks = append(request.Chunks, chunk-from)
	}
	d.spawn(func() { d.fetchExtentFromOrigin(request, from, chunks, alreadyGranted) })
}

// fetchExtentFromOrigin acquires grants for the chunks in request and reads all
// granted chunks from the origin. Chunks without a grant are reported in
// notFetched, to be fetched from a far peer or the weight store.
func (d *download) fetchExtentFromOrigin(request budget.GrantRequest, from int, chunks []int, granted map[int]bool) {
	var grant budget.Grant
	if len(request.Chunks) > 0 {
		grant, _ = d.acquireGrant(d.ctx, request)
	}
	if grant.HeldByRegion && len(granted) == 0 {
		d.post(extentFetchDone{extent: int(request.Extent), grantHeld: true, notFetched: chunks})
		return
	}
	for _, chunk := range grant.Chunks {
		granted[from+chunk] = true
	}
	var withoutGrant []int
	group := errgroup.Group{}
	group.SetLimit(sourceConcurrency)
	for _, chunk := range chunks {
		if !granted[chunk] {
			withoutGrant = append(withoutGrant, chunk)
			continue
		}
		group.Go(func() error {
			d.fetchChunkFromSource(chunk, true)
			return nil
		})
	}
	_ = group.Wait()
	d.post(extentFetchDone{extent: int(request.Extent), notFetched: withoutGrant})
}

// fetchChunkFromSource fetches and stages one chunk from the origin or, if
// fromOrigin is false, from the weight store.
func (d *download) fetchChunkFromSource(chunk int, fromOrigin bool) {
	digest := d.chunks[chunk].Digest
	var content []byte
	var err error
	if fromOrigin {
		content, err = d.readOrigin(d.ctx, digest, d.config.Sources.Origin.Chunk)
	} else {
		content, err = d.readWeightStore(d.ctx, digest, d.config.Sources.WeightStore.Chunk)
	}
	if err != nil {
		d.post(sourceFetchDone{chunk: chunk, fromOrigin: fromOrigin, readErr: err})
		return
	}
	d.post(sourceFetchDone{chunk: chunk, stageErr: d.config.Staging.PutChunk(d.ctx, digest, content)})
}

// sourceFetchDone is the event that a chunk fetch from a source ended.
type sourceFetchDone struct {
	chunk      int
	fromOrigin bool
	readErr    error
	stageErr   error
}

func (e sourceFetchDone) apply(d *download, now time.Time) {
	d.planner.clearRequested(e.chunk)
	if e.readErr == nil {
		d.chunkStaged(e.chunk, e.stageErr, now)
		return
	}
	d.config.Log.WithError(e.readErr).Debug("Fetching a chunk from a source failed; the chunk will be fetched again.")
	if e.fromOrigin && core.ExecutionOf(e.readErr) == core.ExecutionNotRun {
		d.unusedGrants[e.chunk] = true
	}
	if !e.fromOrigin || !d.fetchFromFarPeerOrStore(e.chunk) {
		d.scheduleRetry(e.chunk)
	}
}

// retryChunk is the event that a chunk whose fetch from a source failed is due
// for another attempt.
type retryChunk struct {
	chunk int
}

func (d *download) scheduleRetry(chunk int) {
	delay := d.withJitter(d.config.RetryDelay)
	d.spawn(func() {
		sleep(d.ctx, delay)
		d.post(retryChunk{chunk: chunk})
	})
}

func (e retryChunk) apply(d *download, now time.Time) {
	if len(d.planner.uncoveredChunks(e.chunk, e.chunk+1)) == 0 {
		return
	}
	extent := e.chunk / extentChunks(len(d.chunks))
	if d.activeExtents[extent] {
		d.scheduleRetry(e.chunk)
		return
	}
	d.startExtentFetch(extent, true, now)
}

// extentFetchDone is the event that the fetch of an extent ended. The chunks in
// notFetched had no origin grant. grantHeld reports that another downloader of
// the region holds the grant.
type extentFetchDone struct {
	extent     int
	grantHeld  bool
	notFetched []int
}

func (e extentFetchDone) apply(d *download, now time.Time) {
	delete(d.activeExtents, e.extent)
	for _, chunk := range e.notFetched {
		d.planner.clearRequested(chunk)
	}
	if e.grantHeld {
		if d.grantHeldSince[e.extent].IsZero() {
			d.grantHeldSince[e.extent] = now
		}
		return
	}
	for _, chunk := range e.notFetched {
		d.fetchFromFarPeerOrStore(chunk)
	}
	size := extentChunks(len(d.chunks))
	from := e.extent * size
	if len(d.planner.uncoveredChunks(from, min(from+size, len(d.chunks)))) == 0 {
		d.completedExtents = append(d.completedExtents, uint32(e.extent))
	}
	d.triggerAnnounce()
}

// fetchFromFarPeerOrStore permits far peers for the chunk and, if no peer can
// deliver it, starts to fetch it from the weight store. It reports false if
// neither is possible.
func (d *download) fetchFromFarPeerOrStore(chunk int) bool {
	d.planner.farAllowed.set(chunk)
	d.farPeersNeeded = true
	if d.planner.coverageOf(chunk) >= coverageNear {
		return true
	}
	if d.config.Sources.WeightStore == nil {
		return false
	}
	if d.planner.markRequested(chunk) {
		d.spawn(func() { d.fetchChunkFromSource(chunk, false) })
	}
	return true
}
