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

// indexPrefix starts the names of the tables that list the claims of one hour,
// so that a sweep need not scan all claims.
const indexPrefix = "claim-index-"

type rowState uint8

const (
	// stateClaimed rows may have been dispatched.
	stateClaimed rowState = iota + 1
	// stateFinished rows carry the result.
	stateFinished
	// stateReleased rows were provably never run; the key may be claimed again.
	stateReleased
)

// row is the value of a claim row.
type row struct {
	State     rowState    `cbor:"1,keyasint"`
	Body      core.Digest `cbor:"2,keyasint"`
	Entry     string      `cbor:"3,keyasint"`
	AttemptID string      `cbor:"4,keyasint"`
	Number    int         `cbor:"5,keyasint"`
	// ClaimedAt is the entry's wall clock in Unix milliseconds.
	ClaimedAt int64   `cbor:"6,keyasint"`
	Result    *Result `cbor:"7,keyasint,omitempty"`
	// Until is when the request has its final answer at the latest, by the
	// same clock.
	Until int64 `cbor:"8,keyasint"`
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

// rowKeyOf hashes the parts, so that any caller's key gives a short row key.
func rowKeyOf(key Key) platform.RowKey {
	parts := string(key.Team) + "/" + string(key.Route) + "/" + key.Key
	return platform.RowKey{Table: ClaimsTable, Key: core.DigestOf([]byte(parts)).String()}
}

// index is the value of an index row: the claims of one transaction.
type index struct {
	Keys []string `cbor:"1,keyasint"`
}

func indexTable(at time.Time) string {
	return indexPrefix + strconv.FormatInt(at.Unix()/int64(time.Hour/time.Second), 10)
}
