// Package budget bounds how often each chunk of a version is fetched from the
// origin, whatever the downloaders do at once. Every fetch needs a grant that
// was committed to the table service before.
package budget

import (
	"currantusher.dev/core"
)

const (
	// MaxFetchesPerChunk bounds the origin fetches of one chunk. The origin's link
	// carries this number of copies in one burst.
	MaxFetchesPerChunk = 4
	// reserveFetches of these are left for takeovers.
	reserveFetches = 1
)

// GrantRequest requests one origin fetch of each of some chunks of an extent, on behalf
// of a region.
type GrantRequest struct {
	Root   core.Digest
	Region core.Region
	// Holder and Incarnation name the downloader that fetches.
	Holder      core.InstanceID
	Incarnation core.Incarnation
	// Extent numbers the extent, and Size is its number of chunks.
	Extent     uint32
	ExtentSize int
	// Manifest asks for the manifest, as an extent of one chunk, instead.
	Manifest bool
	// Chunks are positions in the extent.
	Chunks []int
	// Takeover asks although the region holds a grant, because its holder did
	// not deliver in time.
	Takeover bool
}

// Grant is the answer to an Ask.
type Grant struct {
	// Chunks are the positions that may each be fetched once.
	Chunks []int
	// HeldByRegion reports that another grant of the region is in use, so that the
	// chunks can be expected from a peer of the region.
	HeldByRegion bool
}

// extentRow is the value of one row: the grants given so far for an extent.
type extentRow struct {
	// Fetches counts the grants for each chunk.
	Fetches []uint8 `cbor:"1,keyasint"`
	// Regions lists the regions with a grant.
	Regions []core.Region `cbor:"2,keyasint"`
	// Nonce identifies the last commit.
	Nonce string `cbor:"3,keyasint"`
}

// grant decides which of the asked chunks may be fetched and returns the new
// row. The first grant of a region leaves the reserve untouched, so that a
// takeover remains possible.
func (r extentRow) grant(ask GrantRequest) (extentRow, Grant) {
	held := r.holds(ask.Region)
	if held && !ask.Takeover {
		return r, Grant{HeldByRegion: true}
	}
	limit := MaxFetchesPerChunk
	if !held {
		limit -= reserveFetches
	}
	next := extentRow{
		Fetches: append(make([]uint8, 0, ask.ExtentSize), r.Fetches...),
		Regions: append([]core.Region(nil), r.Regions...),
	}
	for len(next.Fetches) < ask.ExtentSize {
		next.Fetches = append(next.Fetches, 0)
	}
	var granted []int
	for _, chunk := range ask.Chunks {
		if chunk < 0 || chunk >= ask.ExtentSize || int(next.Fetches[chunk]) >= limit {
			continue
		}
		next.Fetches[chunk]++
		granted = append(granted, chunk)
	}
	if !held && len(granted) > 0 {
		next.Regions = append(next.Regions, ask.Region)
	}
	return next, Grant{Chunks: granted}
}

func (r extentRow) holds(region core.Region) bool {
	for _, known := range r.Regions {
		if known == region {
			return true
		}
	}
	return false
}
