package quarantinerows

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
)

func (e *entry) crash(i int, suspect fleet.Trait) {
	server := notices.Lifetime{Server: core.InstanceID(fmt.Sprint("s", i))}
	e.config.Set.Crashed(e.now(), server, e.now(), []fleet.Suspect{{Trait: suspect, Request: uint32(i), Position: 255}})
}

func TestCrashesBeforeAndAfterTheEndOfAllEntriesAreOneEvidence(t *testing.T) {
	f := newFixture(t)
	a := f.loadedEntry(0)
	for i := range 2 {
		a.crash(i, trait(0))
		f.pass(time.Second)
		a.writeEvidence(t.Context())
	}
	b := f.loadedEntry(0)
	b.config.Set.Decide(b.now(), 0)
	f.pass(4 * time.Second)
	b.crash(2, trait(0))
	f.pass(time.Second)
	b.config.Set.Decide(b.now(), 300*time.Millisecond)
	require.True(t, b.refuses(trait(0)))
}

func TestRefutedEvidenceIsNotStored(t *testing.T) {
	f := newFixture(t)
	a := f.loadedEntry(0)
	for i := range 3 {
		a.crash(i, trait(0))
		f.pass(time.Second)
		a.writeEvidence(t.Context())
	}
	f.pass(minEvidenceInterval)
	a.config.Set.Started(a.now(), []fleet.Trait{trait(0)})
	a.rows.readAt = a.now()
	a.writeEvidence(t.Context())
	b := f.loadedEntry(0)
	b.config.Set.Decide(b.now(), 0)
	f.pass(5 * time.Second)
	b.config.Set.Decide(b.now(), 0)
	require.False(t, b.refuses(trait(0)))
}

func TestEvidenceOfTwoWritersIsJoined(t *testing.T) {
	f := newFixture(t)
	a, b := f.loadedEntry(0), f.loadedEntry(0)
	a.crash(0, trait(0))
	a.writeEvidence(t.Context())
	f.pass(time.Second)
	b.crash(1, trait(0))
	b.writeEvidence(t.Context())
	f.pass(time.Second)
	b.writeEvidence(t.Context())
	c := f.loadedEntry(0)
	require.Len(t, c.config.Set.StoredEvidence(c.now(), maxEvidenceSuspects), 2)
}

func TestStoredEvidenceIsBounded(t *testing.T) {
	f := newFixture(t)
	a := f.loadedEntry(0)
	for i := range 100 {
		a.crash(i, fleet.Trait{ID: strings.Repeat("f", 1000) + fmt.Sprint(i)})
		f.pass(10 * time.Millisecond)
	}
	a.crash(200, trait(0))
	f.pass(time.Second)
	a.crash(201, trait(0))
	a.writeEvidence(t.Context())
	page, err := f.client.ReadAll(t.Context(), EvidenceTable)
	require.NoError(t, err)
	require.LessOrEqual(t, len(page.Rows[0].Value), maxEvidenceBytes)
	require.Contains(t, string(page.Rows[0].Value), trait(0).ID, "the trait of most crashes")
}

func TestOddEvidenceIsIgnored(t *testing.T) {
	f := newFixture(t)
	f.store.Put(EvidenceTable, evidenceKey, []byte("?"))
	f.store.Put(EvidenceTable, "other", []byte("?"))
	a := f.loadedEntry(0)
	a.crash(0, trait(0))
	a.writeEvidence(t.Context())
	require.Len(t, f.loadedEntry(0).config.Set.StoredEvidence(f.now, maxEvidenceSuspects), 1)
}

func TestWritesOfLongEvidenceStayWithinTheirRate(t *testing.T) {
	f := newFixture(t)
	a := f.loadedEntry(0)
	const seconds = 60
	written := 0
	for i := range seconds {
		a.crash(i, fleet.Trait{ID: strings.Repeat("f", 2000) + fmt.Sprint(i)})
		f.pass(time.Second)
		a.rows.readAt = a.now()
		before := a.evidence.writtenAt
		a.writeEvidence(t.Context())
		if a.evidence.writtenAt.After(before) {
			written += a.evidence.writtenBytes
		}
	}
	require.Positive(t, written)
	require.LessOrEqual(t, written, seconds*evidenceBytesPerSecond+maxEvidenceBytes)
}
