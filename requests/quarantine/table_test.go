package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"currantusher.dev/core/fleet"
)

func TestEachQuarantineLastsTwiceAsLongUpToTheBound(t *testing.T) {
	for generation, want := range map[uint32]time.Duration{
		1: basePeriod, 2: 2 * basePeriod, 3: 4 * basePeriod, 5: maxPeriod, 1000: maxPeriod, 1<<32 - 1: maxPeriod,
	} {
		q := &quarantine{generation: generation, decidedAt: at(0)}
		assert.Equal(t, at(0).Add(want), q.end(), "generation %d", generation)
	}
}

func TestOfTwoQuarantinesBothEntriesKeepTheSame(t *testing.T) {
	states := []quarantine{
		{generation: 1, decidedAt: at(1)}, {generation: 1, decidedAt: at(2)}, {generation: 1, decidedAt: at(1), released: true},
		{generation: 2, decidedAt: at(1)}, {generation: 2, decidedAt: at(3), released: true},
	}
	toWire := func(q quarantine) fleet.Quarantine {
		return fleet.Quarantine{Trait: part("p"), Generation: q.generation, Age: at(5).Sub(q.decidedAt), Released: q.released}
	}
	for _, x := range states {
		for _, y := range states {
			a, b := newTestSet(), newTestSet()
			a.quarantines.put(part("p"), &quarantine{generation: x.generation, decidedAt: x.decidedAt, released: x.released})
			b.quarantines.put(part("p"), &quarantine{generation: y.generation, decidedAt: y.decidedAt, released: y.released})
			a.Merge(at(5), fleet.CrashEvidence{Quarantines: []fleet.Quarantine{toWire(y)}})
			b.Merge(at(5), fleet.CrashEvidence{Quarantines: []fleet.Quarantine{toWire(x)}})
			qa, qb := a.quarantines[part("p")], b.quarantines[part("p")]
			assert.Equal(t, qa.generation, qb.generation, "%v and %v", x, y)
			assert.Equal(t, qa.released, qb.released, "%v and %v", x, y)
			if !qa.released {
				assert.Equal(t, qa.decidedAt, qb.decidedAt, "%v and %v", x, y)
			}
		}
	}
}

func TestFullTableKeepsActiveQuarantines(t *testing.T) {
	table := quarantineTable{}
	table.put(part("active"), &quarantine{generation: 1, decidedAt: at(0), changedAt: at(0)})
	for i := range 2 * maxQuarantines {
		changed := at(1 + float64(i)/1000)
		table.put(part(fmt.Sprint(i)), &quarantine{generation: 1, decidedAt: changed, changedAt: changed, released: true, releasedAt: changed})
	}
	assert.Len(t, table, maxQuarantines)
	assert.Contains(t, table, part("active"))
}

func TestPartWithoutModelAndNameDoesNotOverfillTheTable(t *testing.T) {
	table := quarantineTable{}
	table.put(fleet.Trait{}, &quarantine{generation: 1, changedAt: at(5)})
	for i := range 2 * maxQuarantines {
		table.put(part(fmt.Sprint(i)), &quarantine{generation: 1, changedAt: at(10 + float64(i))})
	}
	assert.Len(t, table, maxQuarantines)
}

func TestRetentionsEnd(t *testing.T) {
	table := quarantineTable{
		part("released"): {generation: 1, decidedAt: at(0), released: true, releasedAt: at(10)},
		part("ended"):    {generation: 1, decidedAt: at(0)},
	}
	table.expire(at(10).Add(releaseRetention - time.Second))
	assert.Len(t, table, 2)
	table.expire(at(10).Add(releaseRetention))
	assert.NotContains(t, table, part("released"))
	table.expire(at(0).Add(basePeriod + strikeRetention))
	assert.Empty(t, table)
}

// Guards against deadly traits that are forgotten while others are quarantined.
func TestManyQuarantinesDisplaceNoneThatIsInForce(t *testing.T) {
	s := newTestSet()
	const count = maxQuarantines + 1
	for i := range count {
		s.Merge(at(float64(i)/100), fleet.CrashEvidence{Quarantines: []fleet.Quarantine{{Trait: part(fmt.Sprint(i)), Generation: 1, Crashes: 3}}})
	}
	for i := range count {
		_, _, isRefused := s.Quarantined(at(count/100), parts(fmt.Sprint(i)))
		assert.True(t, isRefused, "the one decided as number %d", i)
	}
}

func TestFullTableForgetsWhatEndsOrEndedFirst(t *testing.T) {
	table := quarantineTable{}
	name := func(kind string, i int) fleet.Trait { return part(fmt.Sprint(kind, i)) }
	now := at(0)
	for i := range 2 * maxInForce {
		now = at(float64(i) / 1000)
		past := name("released-", i)
		isKept := table.put(past, &quarantine{generation: 1, decidedAt: now, changedAt: now, released: true, releasedAt: now})
		assert.True(t, isKept, "the newest release")
		isKept = table.put(name("", i), &quarantine{generation: 1, decidedAt: now, changedAt: now})
		assert.True(t, isKept, "the one that ends last")
		inForce := table.countActive(now)
		assert.EqualValues(t, min(i+1, maxInForce), inForce)
		assert.LessOrEqual(t, len(table)-int(inForce), max(maxQuarantines-int(inForce), minPast))
	}
	for i := range maxInForce {
		assert.NotContains(t, table, name("", i), "one of those that end first")
		assert.Contains(t, table, name("", maxInForce+i))
	}
	for i := range minPast {
		assert.Contains(t, table, name("released-", 2*maxInForce-1-i), "news that a trait is sound")
	}
	isKept := table.put(part("early"), &quarantine{generation: 1, decidedAt: at(0), changedAt: now})
	assert.False(t, isKept, "all others end later")
	table.expire(at(0).Add(basePeriod + 10*time.Second))
	assert.Len(t, table, maxQuarantines, "all have ended")
	assert.Contains(t, table, name("", 2*maxInForce-1), "the one that ended last")
}

func TestReleaseBesideManyQuarantinesInForceStays(t *testing.T) {
	s := newTestSet()
	s.Decide(at(-100), testSettle)
	for i := range 2 * maxQuarantines {
		s.Merge(at(0), fleet.CrashEvidence{Quarantines: []fleet.Quarantine{{Trait: part(fmt.Sprint(i)), Generation: 1, Crashes: 3}}})
	}
	ended := fleet.Quarantine{Generation: 1, Age: basePeriod, Crashes: 3}
	for i := range maxQuarantines {
		ended.Trait = part(fmt.Sprint("ended-", i))
		s.Merge(at(0.5), fleet.CrashEvidence{Quarantines: []fleet.Quarantine{ended}})
	}
	s.Started(at(1), parts("7"))
	changes := s.Decide(at(1.1), testSettle)
	assert.Equal(t, []Change{{Trait: part("7"), Reason: ProvedSound, Crashes: 3}}, changes)
	s.Decide(at(1.2), testSettle)
	late := []fleet.Quarantine{{Trait: part("7"), Generation: 1, Age: time.Second, Crashes: 3}}
	s.Merge(at(60), fleet.CrashEvidence{Quarantines: late})
	_, _, isRefused := s.Quarantined(at(60), parts("7"))
	assert.False(t, isRefused, "an entry that missed the release told it")
	assert.EqualValues(t, 2*maxQuarantines-1, s.Counts().Quarantined)
}

func TestStoredQuarantinesInForceAreAllRead(t *testing.T) {
	var records []Record
	for i := range maxQuarantines {
		records = append(records, Record{Trait: part(fmt.Sprint("ended-", i)), Generation: 1, DecidedMs: storeAt(-basePeriod.Seconds())})
	}
	for i := range maxQuarantines + 1 {
		records = append(records, Record{Trait: part(fmt.Sprint(i)), Generation: 1, DecidedMs: storeAt(0)})
	}
	for i := range minPast {
		records = append(records, Record{Trait: part(fmt.Sprint("later-", i)), Generation: 1, DecidedMs: storeAt(-basePeriod.Seconds())})
	}
	s := NewSet()
	s.MergeRecords(at(1), storeAt(1), records, false)
	for i := range maxQuarantines + 1 {
		_, _, isRefused := s.Quarantined(at(1), parts(fmt.Sprint(i)))
		assert.True(t, isRefused, "number %d", i)
	}
	assert.Len(t, s.quarantines, maxQuarantines+1+minPast)
}
