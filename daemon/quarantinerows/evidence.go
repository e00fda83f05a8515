package quarantinerows

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/rowstore"
)

// EvidenceTable is the name of the table whose only row has the crashes that no quarantine
// explains yet.
const EvidenceTable = "quarantine-evidence"

const (
	evidenceKey = "crashes"
	// minEvidenceInterval is the least time between two writes of the evidence. After a long
	// row it is longer, so that the writes take at most evidenceBytesPerSecond.
	minEvidenceInterval    = time.Second
	evidenceBytesPerSecond = 4 << 10
	// maxEvidenceSuspects bounds the suspects in the row, and maxEvidenceBytes its length.
	maxEvidenceSuspects = 128
	maxEvidenceBytes    = 16 << 10
)

// evidence is the row of EvidenceTable.
type evidence struct {
	// WrittenMs is the store's clock when the ages of the crashes were taken.
	WrittenMs int64               `cbor:"1,keyasint"`
	Crashes   []fleet.CrashReport `cbor:"2,keyasint"`
}

// evidenceState is what is known of the row.
type evidenceState struct {
	revision uint64
	// writtenVersion is the version of the Set's evidence that was last written at writtenAt.
	writtenVersion uint64
	writtenAt      time.Time
	writtenBytes   int
	failed         bool
}

// interval returns the least time from the last write to the next one.
func (e *evidenceState) interval() time.Duration {
	return max(minEvidenceInterval, time.Duration(e.writtenBytes)*time.Second/evidenceBytesPerSecond)
}

// readEvidence merges the stored evidence.
func (k *Keeper) readEvidence(ctx context.Context) error {
	page, err := k.config.Store.ReadAll(ctx, EvidenceTable)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mergeEvidence(page.Rows, page.NowMillis)
	return nil
}

// mergeEvidence takes the row, which an entry has written before. The caller holds mu.
func (k *Keeper) mergeEvidence(rows []rowstore.Row, storeMs int64) {
	k.evidence.revision = 0
	for _, row := range rows {
		if row.Table != EvidenceTable || row.Key != evidenceKey || row.Deleted {
			continue
		}
		k.evidence.revision = row.Revision
		var stored evidence
		if err := cbor.Unmarshal(row.Value, &stored); err != nil {
			k.config.Log.WithError(err).WithField("key", row.Key).Warn("Ignoring an invalid row of evidence.")
			continue
		}
		since := time.Duration(min(max(storeMs-stored.WrittenMs, 0), maxEvidenceAge.Milliseconds())) * time.Millisecond
		for i := range stored.Crashes {
			stored.Crashes[i].Age = min(max(stored.Crashes[i].Age, 0), maxEvidenceAge) + since
		}
		k.config.Set.Merge(k.config.Now(), fleet.CrashEvidence{Crashes: stored.Crashes})
	}
}

// maxEvidenceAge is an age at which no crash counts any more.
const maxEvidenceAge = 24 * time.Hour

// writeEvidence writes the evidence if it has changed. Only the entry of the lowest rank does.
func (k *Keeper) writeEvidence(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.config.Now()
	version := k.config.Set.EvidenceVersion()
	if rank, isKeeper := k.config.Rank(); !isKeeper || rank != 0 || k.isStale || now.Sub(k.rows.readAt) > maxReadAge ||
		version == k.evidence.writtenVersion || now.Sub(k.evidence.writtenAt) < k.evidence.interval() {
		return
	}
	k.evidence.writtenAt = now
	storeMs := k.rows.clock(now)
	value, err := encodeEvidence(evidence{WrittenMs: storeMs, Crashes: k.config.Set.StoredEvidence(now, maxEvidenceSuspects)})
	if err != nil {
		k.config.Log.WithError(err).Error("Could not encode the evidence of crashes.")
		return
	}
	k.evidence.writtenBytes = len(value)
	row := rowstore.Row{Table: EvidenceTable, Key: evidenceKey, Value: value}
	tx := rowstore.Transaction{Set: []rowstore.Row{row}, Expected: []rowstore.Row{{Table: EvidenceTable, Key: evidenceKey, Revision: k.evidence.revision}}}
	k.mu.Unlock()
	outcome, err := k.config.Store.Commit(ctx, tx)
	k.mu.Lock()
	switch {
	case err == nil:
		k.evidence.revision, k.evidence.writtenVersion, k.evidence.failed = outcome.Revision, version, false
	case core.CodeOf(err) == core.CodeStoreConflict:
		k.mergeEvidence(outcome.Current, storeMs)
	case !k.evidence.failed:
		k.evidence.failed = true
		k.config.Log.WithError(err).WithFields(logrus.Fields{"bytes": len(value)}).Warn("Could not store the evidence of crashes; retrying.")
	}
}

// encodeEvidence encodes the evidence, without the crashes that exceed maxEvidenceBytes.
func encodeEvidence(e evidence) ([]byte, error) {
	for {
		value, err := cbor.Marshal(e)
		if err != nil || len(value) <= maxEvidenceBytes || len(e.Crashes) == 0 {
			return value, err
		}
		e.Crashes = e.Crashes[:len(e.Crashes)/2]
	}
}
