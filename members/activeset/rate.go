package activeset

import (
	"sync"
	"time"
)

const (
	// rateWindow is the time for which the peak of the request rate counts. It spans
	// several lifetimes of directory responses, so that the set of active entries
	// does not change with every fluctuation of the load.
	rateWindow = 10
	// bucketLength is the resolution of the request rate.
	bucketLength = time.Second
)

// PeakRate measures the recent peak of a request rate. It is safe for concurrent use.
type PeakRate struct {
	mu sync.Mutex
	// counts holds the number of requests in each of the last buckets, and latest
	// the number of the bucket that was counted last, since the zero time.
	counts [rateWindow]int
	latest int64
}

// Record counts a request.
func (r *PeakRate) Record(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.counts[r.latest%rateWindow]++
}

// PerSecond returns the highest number of requests within one second of the last ten.
func (r *PeakRate) PerSecond(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	peak := 0
	for _, count := range r.counts {
		peak = max(peak, count)
	}
	return float64(peak) / bucketLength.Seconds()
}

// advance clears the buckets that began since the last call.
func (r *PeakRate) advance(now time.Time) {
	bucket := now.UnixNano() / int64(bucketLength)
	if bucket <= r.latest {
		return
	}
	for passed := max(r.latest+1, bucket-rateWindow+1); passed <= bucket; passed++ {
		r.counts[passed%rateWindow] = 0
	}
	r.latest = bucket
}
