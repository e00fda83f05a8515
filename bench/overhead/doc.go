// Package overhead measures what an entry and an agent add to a request, beside
// a direct call to the same backend server. It holds benchmarks only.
package overhead
