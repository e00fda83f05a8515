package quarantinerows

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/requests/quarantine"
)

// maxLiftAttempts bounds the attempts of a lift beside entries that write the same rows.
const maxLiftAttempts = 5

// ErrUnknown means that no quarantine of a request or prompt part is stored.
var ErrUnknown = errors.New("no quarantine of it is stored")

// Stored is the stored quarantines as an operator sees them.
type Stored struct {
	Records []quarantine.Record
	// StoreMs is the store's clock in milliseconds when they were read.
	StoreMs int64
	// Invalid holds the keys of rows that describe no quarantine.
	Invalid []string

	revisions map[string]uint64
}

// Read reads the stored quarantines.
func Read(ctx context.Context, store Store) (Stored, error) {
	page, err := store.ReadAll(ctx, Table)
	if err != nil {
		return Stored{}, err
	}
	s := Stored{StoreMs: page.NowMillis, revisions: map[string]uint64{}}
	for _, row := range page.Rows {
		record, err := quarantine.DecodeRecord(row.Key, row.Value)
		if err != nil {
			s.Invalid = append(s.Invalid, row.Key)
			continue
		}
		s.revisions[row.Key] = row.Revision
		s.Records = append(s.Records, record)
	}
	return s, nil
}

// Lift releases the quarantines of the request with a fingerprint, or of the prompt part with
// an identifier, of all models. It returns them, or ErrUnknown if there are none that are not
// lifted yet. If its error has core.ExecutionUnknown, they may be lifted later.
func Lift(ctx context.Context, store Store, id string) ([]quarantine.Record, error) {
	for range maxLiftAttempts {
		stored, err := Read(ctx, store)
		if err != nil {
			return nil, err
		}
		lifted, tx, err := stored.lift(id)
		if err != nil {
			return nil, err
		}
		_, err = store.Commit(ctx, tx)
		if err == nil || core.CodeOf(err) != core.CodeStoreConflict {
			return lifted, err
		}
	}
	return nil, core.NewRefusal(core.CodeStoreConflict, time.Second, "entries changed the rows of %s at the same time", id)
}

func (s Stored) lift(id string) (lifted []quarantine.Record, tx rowstore.Transaction, err error) {
	matches := func(r quarantine.Record) bool { return r.Trait.ID == id && !r.Lifted }
	for _, record := range s.Records {
		if !matches(record) || len(lifted) == maxBatch {
			continue
		}
		key := quarantine.RecordKey(record.Trait)
		record = record.Lift(s.StoreMs)
		value, err := record.Encode()
		if err != nil {
			return nil, tx, err
		}
		lifted = append(lifted, record)
		tx.Set = append(tx.Set, rowstore.Row{Table: Table, Key: key, Value: value})
		tx.Expected = append(tx.Expected, rowstore.Row{Table: Table, Key: key, Revision: s.revisions[key]})
	}
	if len(lifted) == 0 {
		return nil, tx, fmt.Errorf("%s: %w", id, ErrUnknown)
	}
	return slices.Clip(lifted), tx, nil
}
