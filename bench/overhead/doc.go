// Package overhead measures the latency and the processor time that an entry and
// an agent add to a request, compared with a direct call to the same backend
// server. It contains benchmarks only.
package overhead
