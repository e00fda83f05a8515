// Package loadtest plays the entries' decisions on requests (queue, placement, division of
// slots) before simulated engines, in simulated time. It holds test code only.
package loadtest
