package sharedlimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

// testSharers returns n sharers in a number of data centres.
func testSharers(n, centres int) []Sharer {
	var list []Sharer
	for i := range n {
		centre := core.DataCentre(fmt.Sprintf("dc-%d", i%centres))
		list = append(list, Sharer{ID: core.InstanceID(fmt.Sprintf("e-%d", i)), DataCentre: centre, Region: core.Region(centre)})
	}
	return list
}

// seenBy returns the sharers as the one with an index sees them.
func seenBy(all []Sharer, i int) Sharers {
	return NewSharers(all[i].ID, all, len(all))
}

func TestPartOfAColdLimit(t *testing.T) {
	limit := Cold(36, 1.5, 5)
	for count, want := range map[int]int{0: 59, 1: 59, 7: 8} {
		sharers := NewSharers("e-1", []Sharer{{ID: "e-1"}}, count)
		require.Equal(t, Part{Requests: want, Window: time.Second}, sharers.Part("s-1", limit))
	}
}

// A limit of 26 must stay usable with 45 or 149 entries.
func TestPartsAddUpToTheLimit(t *testing.T) {
	for _, entries := range []int{1, 2, 9, 15, 45, 149, 350} {
		all := testSharers(entries, 3)
		for server := range 20 {
			id := core.InstanceID(fmt.Sprintf("s-%d", server))
			sum := 0
			for i := range all {
				sum += seenBy(all, i).Part(id, Cold(14, 1.5, 5)).Requests
			}
			require.LessOrEqual(t, sum, 26)
			require.GreaterOrEqual(t, sum, 23, "%d entries", entries)
		}
	}
}

func TestPartsOfARateAddUpToIt(t *testing.T) {
	for _, perSecond := range []float64{0.1, 0.5, 1, 1.9, 2.25, 7, 20, 333.3} {
		limit := Rate(perSecond)
		require.InDelta(t, perSecond, float64(limit.Requests)/limit.Window.Seconds(), 1e-6)
		for _, entries := range []int{1, 2, 8, 40, 150} {
			all := testSharers(entries, 3)
			sum := 0
			for i := range all {
				part := seenBy(all, i).Near("dc-1", "dc-1").Part("s-1", limit)
				require.Equal(t, limit.Window, part.Window)
				sum += part.Requests
			}
			require.Equal(t, limit.Requests, sum, "%v/s over %d entries", perSecond, entries)
		}
	}
	require.LessOrEqual(t, Rate(math.MaxFloat64).Requests, math.MaxInt32)
}

func TestNearestSharersHoldTheParts(t *testing.T) {
	all := testSharers(6, 3)
	all[5].Region = "r-5"
	for _, c := range []struct {
		name   string
		centre core.DataCentre
		region core.Region
		want   []core.InstanceID
	}{
		{"data centre", "dc-0", "dc-0", []core.InstanceID{"e-3"}},
		{"region", "other", "dc-1", []core.InstanceID{"e-1", "e-4"}},
		{"elsewhere", "other", "other", []core.InstanceID{"e-1", "e-2", "e-3", "e-4", "e-5"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, seenBy(all, 0).Near(c.centre, c.region).Holders("s-1", Rate(20)))
		})
	}
	far := seenBy(all, 0).Near("dc-1", "dc-1")
	require.Zero(t, far.Part("s-1", Rate(20)).Requests)
	unknown := NewSharers(all[0].ID, all, 12).Near("dc-0", "dc-0")
	standby := NewSharers("e-9", all, len(all))
	require.Zero(t, standby.Part("s-1", Rate(20)).Requests)
	require.Len(t, standby.Holders("s-1", Rate(20)), 6)
	require.Equal(t, 10, unknown.Part("s-1", Rate(20)).Requests, "6 sharers that are not known may be near")
}
