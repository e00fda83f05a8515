// Package budget limits how often each chunk of a version is fetched from the
// origin by all concurrent downloaders together. Each fetch requires a grant
// that has been committed to the table service.
package budget

import (
	"currantusher.dev/core"
)

const (
	// MaxFetchesPerChunk bounds the origin fetches of one chunk. It is the number
	// of copies that the origin's link can send in one burst.
	MaxFetchesPerChunk = 4
	// takeoverReserve is the number of these fetches that only takeovers may
	// use.
	takeoverReserve = 1
)

// GrantRequest requests one origin fetch of each of the listed chunks of an
// extent, on behalf of a region.
type GrantRequest struct {
	Root   core.Digest
	Region core.Region
	// Holder and Incarnation identify the downloader that requests the grant.
	Holder      core.InstanceID
	Incarnation core.Incarnation
	// Extent is the number of the extent, and ExtentSize its number of chunks.
	Extent     uint32
	ExtentSize int
	// Manifest requests the manifest instead of an extent. It counts as an
	// extent of one chunk.
	Manifest bool
	// Chunks holds positions in the extent.
	Chunks []int
	// Takeover requests a grant although the region already has one, because
	// the downloader that holds it did not deliver in time.
	Takeover bool
}

// Grant is the result of a GrantRequest.
type Grant struct {
	// Chunks holds the positions of the chunks that may each be fetched once.
	Chunks []int
	// HeldByRegion reports that nothing was granted because the region already
	// has a grant, so that the chunks will be available from a peer of the
	// region.
	HeldByRegion bool
}

// extentRow is the value of the row of an extent: the grants so far.
type extentRow struct {
	// Fetches counts the grants for each chunk.
	Fetches []uint8 `cbor:"1,keyasint"`
	// Regions lists the regions with a grant.
	Regions []core.Region `cbor:"2,keyasint"`
	// Nonce identifies the last commit.
	Nonce string `cbor:"3,keyasint"`
}

// grant returns the grant for a request and the updated row. The first grant of a
// region does not use the takeover reserve, so that a takeover remains possible.
func (r extentRow) grant(request GrantRequest) (extentRow, Grant) {
	held := r.hasGrant(request.Region)
	if held && !request.Takeover {
		return r, Grant{HeldByRegion: true}
	}
	limit := MaxFetchesPerChunk
	if !held {
		limit -= takeoverReserve
	}
	next := extentRow{
		Fetches: append(make([]uint8, 0, request.ExtentSize), r.Fetches...),
		Regions: append([]core.Region(nil), r.Regions...),
	}
	for len(next.Fetches) < request.ExtentSize {
		next.Fetches = append(next.Fetches, 0)
	}
	var granted []int
	for _, chunk := range request.Chunks {
		if chunk < 0 || chunk >= request.ExtentSize || int(next.Fetches[chunk]) >= limit {
			continue
		}
		next.Fetches[chunk]++
		granted = append(granted, chunk)
	}
	if !held && len(granted) > 0 {
		next.Regions = append(next.Regions, request.Region)
	}
	return next, Grant{Chunks: granted}
}

func (r extentRow) hasGrant(region core.Region) bool {
	for _, grantedRegion := range r.Regions {
		if grantedRegion == region {
			return true
		}
	}
	return false
}
