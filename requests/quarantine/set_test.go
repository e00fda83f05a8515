package quarantine

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestStartsAndCrashesAtTheSameTimeKeepASetConsistent(t *testing.T) {
	s, other := newTestSet(), newTestSet()
	var group sync.WaitGroup
	for g := range 4 {
		group.Go(func() {
			for i := range 300 {
				seconds := float64(i) / 50
				id := fmt.Sprintf("%d-%d", g, i)
				s.Started(at(seconds), parts("team", "middle-"+id))
				crashWith(s, seconds, id, id, "team", "dead")
				s.Decide(at(seconds), testSettle)
				s.Quarantined(at(seconds), parts("team", "dead"))
				exchange(seconds, s, other)
				exchange(seconds, other, s)
			}
		})
	}
	group.Wait()
	requireBounds(t, s)
	assert.Equal(t, []string{"dead"}, quarantinedIDs(s, 6))
}

func BenchmarkQuarantined(b *testing.B) {
	for _, count := range []int{0, 1} {
		b.Run(fmt.Sprintf("%d quarantines", count), func(b *testing.B) {
			s := newTestSet()
			if count > 0 {
				last := crashEvery(s, 0, 1, 3, "dead")
				s.Decide(at(last+1), testSettle)
			}
			list := parts("team", "middle-1", "middle-2")
			b.ReportAllocs()
			for b.Loop() {
				s.Quarantined(at(4), list)
			}
		})
	}
}
