// Package quarantinerows keeps the quarantines of requests and prompt parts in the platform's
// store, so that they outlive all entries.
package quarantinerows

import (
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/platform/rowstore"
	"currantusher.dev/requests/quarantine"
)

// Table is the name of the table, which has a row for each quarantined trait.
const Table = "quarantines"

// maxBatch bounds the rows of a transaction. Each takes two entries, of which the platform
// accepts 100, and at most quarantine.MaxRecordBytes, of which it accepts 1 MB in all.
const maxBatch = 40

// rows holds the table as last read. It does no I/O.
type rows struct {
	position rowstore.Position
	records  map[string]quarantine.Record
	// revisions holds those of all rows, also of the ones that describe no quarantine.
	revisions map[string]uint64
	// storeMs is the store's clock at readAt.
	storeMs int64
	readAt  time.Time
}

// replace takes all rows of the table and returns the records.
func (r *rows) replace(now time.Time, page rowstore.Page, log *logrus.Entry) []quarantine.Record {
	r.records, r.revisions = map[string]quarantine.Record{}, map[string]uint64{}
	r.position = rowstore.Position{Era: page.Era}
	return r.add(now, page, log)
}

// add takes changes of the table and returns the changed records.
func (r *rows) add(now time.Time, page rowstore.Page, log *logrus.Entry) []quarantine.Record {
	var changed []quarantine.Record
	for _, row := range page.Rows {
		if row.Revision <= r.revisions[row.Key] {
			// It is older than what is known.
			continue
		}
		delete(r.records, row.Key)
		if row.Deleted {
			delete(r.revisions, row.Key)
			continue
		}
		r.revisions[row.Key] = row.Revision
		record, err := quarantine.DecodeRecord(row.Key, row.Value)
		if err != nil {
			log.WithError(err).WithField("key", row.Key).Warn("Ignoring an invalid row of a quarantine.")
			continue
		}
		r.records[row.Key] = record
		changed = append(changed, record)
	}
	r.position.Revision = max(r.position.Revision, page.Revision)
	r.storeMs, r.readAt = page.NowMillis, now
	return changed
}

// clock returns the store's time.
func (r *rows) clock(now time.Time) int64 { return r.storeMs + now.Sub(r.readAt).Milliseconds() }

// transaction returns the writes of records and the removal of rows, as far as they fit into
// one transaction, on condition that the rows are as last read.
func (r *rows) transaction(set []quarantine.Record, remove []string) (rowstore.Transaction, error) {
	var tx rowstore.Transaction
	for _, record := range set[:min(len(set), maxBatch)] {
		value, err := record.Encode()
		if err != nil {
			return rowstore.Transaction{}, err
		}
		row := rowstore.Row{Table: Table, Key: quarantine.RecordKey(record.Trait), Value: value}
		tx.Set = append(tx.Set, row)
		tx.Expected = append(tx.Expected, r.expected(row.Key))
	}
	for _, key := range remove[:min(len(remove), maxBatch-len(tx.Set))] {
		tx.Remove = append(tx.Remove, rowstore.Row{Table: Table, Key: key})
		tx.Expected = append(tx.Expected, r.expected(key))
	}
	return tx, nil
}

func (r *rows) expected(key string) rowstore.Row {
	return rowstore.Row{Table: Table, Key: key, Revision: r.revisions[key]}
}

// committed takes what the store has accepted. The revisions stay those that were read until
// the feed brings the new ones: the response may name a later one, of a write by someone else.
func (r *rows) committed(set []quarantine.Record, tx rowstore.Transaction) {
	for i, row := range tx.Set {
		if r.revisions[row.Key] == tx.Expected[i].Revision {
			r.records[row.Key] = set[i]
		}
	}
	for i, row := range tx.Remove {
		if r.revisions[row.Key] == tx.Expected[len(tx.Set)+i].Revision {
			delete(r.records, row.Key)
		}
	}
}
