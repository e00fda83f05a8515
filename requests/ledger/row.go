package ledger

import (
	"fmt"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// ClaimsTable is the table of claim rows.
const ClaimsTable = "claims"

// indexPrefix is the name prefix of the index tables. Each lists the claims of
// one hour, so that expired claims can be deleted without scanning all claims.
const indexPrefix = "claim-index-"

type rowState uint8

const (
	// stateClaimed rows may have been dispatched.
	stateClaimed rowState = iota + 1
	// stateFinished rows carry the result.
	stateFinished
	// stateReleased rows belong to requests that provably never ran; the key may
	// be claimed again.
	stateReleased
)

// row is the value of a claim row.
type row struct {
	State      rowState    `cbor:"1,keyasint"`
	BodyDigest core.Digest `cbor:"2,keyasint"`
	Entry      string      `cbor:"3,keyasint"`
	AttemptID  string      `cbor:"4,keyasint"`
	Generation int         `cbor:"5,keyasint"`
	// ClaimedAt is the time of the claim by the entry's wall clock, in Unix
	// milliseconds.
	ClaimedAt int64   `cbor:"6,keyasint"`
	Result    *Result `cbor:"7,keyasint,omitempty"`
	// ResultDeadline is the latest time of the request's final answer, by the same
	// clock and in the same unit.
	ResultDeadline int64 `cbor:"8,keyasint"`
}

func (r row) encode() []byte {
	encoded, err := cbor.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("encode claim row: %v", err))
	}
	return encoded
}

func decodeRow(value []byte) (row, error) {
	var r row
	if err := cbor.Unmarshal(value, &r); err != nil {
		return row{}, fmt.Errorf("decode claim row: %w", err)
	}
	return r, nil
}

// rowKeyOf returns the row key of a claim. It is a hash, so that it is short
// whatever the length of the caller's key.
func rowKeyOf(key Key) platform.RowKey {
	parts := string(key.Team) + "/" + string(key.Route) + "/" + key.Key
	return platform.RowKey{Table: ClaimsTable, Key: core.DigestOf([]byte(parts)).String()}
}

// claimIndex is the value of an index row: the row keys of the claims written by
// one transaction.
type claimIndex struct {
	Keys []string `cbor:"1,keyasint"`
}

// indexTableName returns the name of the index table of the hour of a time.
func indexTableName(hour time.Time) string {
	return indexPrefix + strconv.FormatInt(hour.Unix()/int64(time.Hour/time.Second), 10)
}
