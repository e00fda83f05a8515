package quarantine

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

// testStoreMs is the store's time at testStart.
const testStoreMs = 5_000_000

func storeAt(seconds float64) int64 { return testStoreMs + int64(seconds*1000) }

// quarantinedSet returns a Set that has quarantined a part at a time.
func quarantinedSet(t *testing.T, seconds float64, id string) *Set {
	t.Helper()
	s := newTestSet()
	crashEvery(s, seconds-2, 0.5, 3, id)
	require.Len(t, s.Decide(at(seconds), testSettle), 1)
	return s
}

// store writes what a Set knows.
func store(s *Set, seconds float64, records map[string]Record) {
	set, remove := s.Unstored(at(seconds), storeAt(seconds), records)
	for _, r := range set {
		records[RecordKey(r.Trait)] = r
	}
	for _, key := range remove {
		delete(records, key)
	}
}

func read(s *Set, seconds float64, records map[string]Record) []Change {
	var list []Record
	for _, r := range records {
		list = append(list, r)
	}
	return s.MergeRecords(at(seconds), storeAt(seconds), list, true)
}

func TestRecordsSurviveEncoding(t *testing.T) {
	r := Record{
		Trait: fleet.Trait{Model: "m", ID: strings.Repeat("f", 64)}, Generation: 3, DecidedMs: 7, Crashes: 4,
		With: parts("a", "b"), Released: true, ReleasedMs: 9, Lifted: true,
	}
	value, err := r.Encode()
	require.NoError(t, err)
	decoded, err := DecodeRecord(RecordKey(r.Trait), value)
	require.NoError(t, err)
	assert.Equal(t, r, decoded)
}

func TestOddRecordsAreRefused(t *testing.T) {
	sound := Record{Trait: part("p"), Generation: 1}
	for name, change := range map[string]func(*Record){
		"no identifier":   func(r *Record) { r.Trait.ID = "" },
		"no generation":   func(r *Record) { r.Generation = 0 },
		"another trait":   func(r *Record) { r.Trait.ID = "other" },
		"too many rivals": func(r *Record) { r.With = make([]fleet.Trait, maxRivals+1) },
	} {
		r := sound
		change(&r)
		value, err := cbor.Marshal(r)
		require.NoError(t, err)
		_, err = DecodeRecord(RecordKey(sound.Trait), value)
		assert.Error(t, err, name)
	}
	for _, value := range [][]byte{nil, []byte("?"), []byte("{}"), make([]byte, MaxRecordBytes+1)} {
		_, err := DecodeRecord(RecordKey(sound.Trait), value)
		assert.Error(t, err)
	}
}

func TestNoClockMakesAStoredQuarantineLongerThanItsPeriod(t *testing.T) {
	for _, decided := range []int64{math.MinInt64, -1, 0, testStoreMs, testStoreMs + 1, math.MaxInt64} {
		for _, now := range []int64{math.MinInt64, 0, testStoreMs, math.MaxInt64} {
			r := Record{Trait: part("p"), Generation: 1, DecidedMs: decided}
			assert.LessOrEqual(t, r.Left(now), basePeriod, fmt.Sprint(decided, now))
			assert.GreaterOrEqual(t, r.Left(now), time.Duration(0))
			s := NewSet()
			s.MergeRecords(at(0), now, []Record{r}, false)
			assert.Empty(t, quarantinedIDs(s, basePeriod.Seconds()))
		}
	}
}

func TestQuarantineOutlivesAllEntries(t *testing.T) {
	records := map[string]Record{}
	store(quarantinedSet(t, 10, "dead"), 10, records)
	fresh := NewSet()
	read(fresh, 100, records)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(fresh, 100))
	assert.Equal(t, []string{"dead"}, quarantinedIDs(fresh, 10+basePeriod.Seconds()-1))
	assert.Empty(t, quarantinedIDs(fresh, 10+basePeriod.Seconds()), "its end is that of the decision")
}

func TestWhatTheStoreHoldsIsNotWrittenAgain(t *testing.T) {
	a := quarantinedSet(t, 10, "dead")
	records := map[string]Record{}
	store(a, 10, records)
	b := newTestSet()
	exchange(10.1, a, b)
	for _, s := range []*Set{a, b} {
		set, remove := s.Unstored(at(11), storeAt(11), records)
		assert.Empty(t, set)
		assert.Empty(t, remove)
	}
}

func TestLiftedQuarantineStaysLifted(t *testing.T) {
	a := quarantinedSet(t, 10, "dead")
	records := map[string]Record{}
	store(a, 10, records)
	late := records[RecordKey(part("dead"))]
	records[RecordKey(part("dead"))] = late.Lift(storeAt(12))
	changes := read(a, 12.1, records)
	require.Len(t, changes, 1)
	assert.True(t, changes[0].Until.IsZero())
	assert.Empty(t, a.Decide(at(12.2), testSettle), "the evidence that led to it")
	store(a, 12.3, records)
	assert.True(t, records[RecordKey(part("dead"))].Lifted)

	// A late write of the quarantine is undone.
	records[RecordKey(part("dead"))] = late
	read(a, 13, records)
	assert.Empty(t, quarantinedIDs(a, 13))
	store(a, 13, records)
	assert.True(t, records[RecordKey(part("dead"))].Released)
	fresh := NewSet()
	read(fresh, 14, records)
	assert.Empty(t, quarantinedIDs(fresh, 14))
}

func TestLiftReachesEntriesByGossip(t *testing.T) {
	a := quarantinedSet(t, 10, "dead")
	records := map[string]Record{}
	store(a, 10, records)
	reader, far := NewSet(), newTestSet()
	crashEvery(far, 8, 0.5, 3, "dead")
	require.Len(t, far.Decide(at(10), testSettle), 1)
	records[RecordKey(part("dead"))] = records[RecordKey(part("dead"))].Lift(storeAt(12))
	read(reader, 12, records)
	exchange(12.1, reader, far)
	assert.Empty(t, quarantinedIDs(far, 12.1))
	assert.Empty(t, far.Decide(at(12.2), testSettle), "it knows the crashes")
	assert.Empty(t, quarantinedIDs(far, 12.2))

	// An entry that was cut off meanwhile brings the quarantine back in vain.
	exchange(20, a, far)
	exchange(20.1, far, a)
	assert.Empty(t, quarantinedIDs(a, 20.1))
	assert.Empty(t, a.Decide(at(20.2), testSettle))
}

func TestNewCrashesAfterALiftQuarantineAgain(t *testing.T) {
	a := quarantinedSet(t, 10, "dead")
	records := map[string]Record{}
	store(a, 10, records)
	records[RecordKey(part("dead"))] = records[RecordKey(part("dead"))].Lift(storeAt(12))
	read(a, 12, records)
	crashEvery(a, 20, 0.5, 5, "dead")
	require.Len(t, a.Decide(at(23), testSettle), 1)
	store(a, 23, records)
	stored := records[RecordKey(part("dead"))]
	assert.Equal(t, uint32(2), stored.Generation)
	assert.False(t, stored.Released)
}

func TestDecisionWithoutKnowledgeOfAStoredReleaseCounts(t *testing.T) {
	for name, change := range map[string]func(Record) Record{
		"lifted": func(r Record) Record { return r.Lift(storeAt(12)) },
		"ended":  func(r Record) Record { return r },
	} {
		t.Run(name, func(t *testing.T) {
			records := map[string]Record{}
			store(quarantinedSet(t, 10, "dead"), 10, records)
			records[RecordKey(part("dead"))] = change(records[RecordKey(part("dead"))])
			fresh := NewSet()
			fresh.Decide(at(400), 0)
			crashEvery(fresh, 410, 0.5, 3, "dead")
			require.Len(t, fresh.Decide(at(412), testSettle), 1)
			read(fresh, 413, records)
			assert.Equal(t, []string{"dead"}, quarantinedIDs(fresh, 413))
			store(fresh, 413, records)
			assert.True(t, records[RecordKey(part("dead"))].IsActive(storeAt(413)))
			assert.Equal(t, uint32(2), records[RecordKey(part("dead"))].Generation)
		})
	}
}

func TestStoredQuarantinesAreBounded(t *testing.T) {
	ended := storeAt(-basePeriod.Seconds())
	for name, c := range map[string]struct{ inForce, past, wantInForce, wantPast int }{
		"past ones":                       {inForce: 0, past: maxQuarantines + 50, wantInForce: 0, wantPast: maxQuarantines - 1},
		"in force and past ones":          {inForce: 99, past: maxQuarantines, wantInForce: 99, wantPast: maxQuarantines - 100},
		"many in force":                   {inForce: maxQuarantines + 50, past: 0, wantInForce: maxQuarantines + 50, wantPast: 0},
		"many in force and many past":     {inForce: maxQuarantines + 50, past: maxQuarantines, wantInForce: maxQuarantines + 50, wantPast: minPast},
		"more in force than can be kept":  {inForce: maxInForce + 50, past: 0, wantInForce: maxInForce - 1, wantPast: 0},
		"too many in force and past ones": {inForce: maxInForce + 50, past: maxQuarantines, wantInForce: maxInForce - 1, wantPast: minPast},
	} {
		t.Run(name, func(t *testing.T) {
			records := map[string]Record{}
			add := func(id string, decidedMs int64) {
				r := Record{Trait: part(id), Generation: 1, DecidedMs: decidedMs}
				records[RecordKey(r.Trait)] = r
			}
			for i := range c.inForce {
				add(fmt.Sprint(i), storeAt(float64(i)/100))
			}
			for i := range c.past {
				add(fmt.Sprint("past-", i), ended+int64(i))
			}
			s := quarantinedSet(t, 60, "dead")
			store(s, 60, records)
			assert.Contains(t, records, RecordKey(part("dead")))
			assert.Len(t, records, 1+c.wantInForce+c.wantPast)
			for i := range c.inForce {
				_, isStored := records[RecordKey(part(fmt.Sprint(i)))]
				assert.Equal(t, i >= c.inForce-c.wantInForce, isStored, "number %d of those in force", i)
			}
			for i := range c.past {
				_, isStored := records[RecordKey(part(fmt.Sprint("past-", i)))]
				assert.Equal(t, i >= c.past-c.wantPast, isStored, "number %d of the past ones", i)
			}
			set, remove := s.Unstored(at(61), storeAt(61), records)
			assert.Empty(t, set)
			assert.Empty(t, remove)
			set, remove = s.Unstored(at(2*maxPeriod.Seconds()+60), storeAt(2*maxPeriod.Seconds()+60), records)
			assert.Empty(t, set)
			assert.Len(t, remove, len(records), "expired ones")
		})
	}
}

func BenchmarkCompareFullTableWithFullSet(b *testing.B) {
	records := map[string]Record{}
	var list []Record
	for i := range maxQuarantines {
		r := Record{Trait: part(fmt.Sprint(i)), Generation: 1, DecidedMs: testStoreMs}
		records[RecordKey(r.Trait)] = r
		list = append(list, r)
	}
	s := NewSet()
	s.MergeRecords(at(0), testStoreMs, list, false)
	for b.Loop() {
		s.Unstored(at(1), storeAt(1), records)
	}
}
