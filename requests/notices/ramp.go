package notices

import "time"

// rampTime is how long a server takes after a pause to get its full share of requests
// again, unless its rate is known.
const rampTime = time.Second

// RampLimit returns how many of limit requests may run at a server at now, after a
// pause that ends at pauseEnd. The first request finds out whether the server accepts
// requests; the number then grows to limit within rampTime.
func RampLimit(now, pauseEnd time.Time, limit int) int {
	if pauseEnd.IsZero() || limit <= 1 {
		return limit
	}
	progress := float64(now.Sub(pauseEnd)) / float64(rampTime)
	return min(limit, 1+int(max(progress, 0)*float64(limit-1)))
}
