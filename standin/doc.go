// Package standin is the root of the small stand-ins for the operator's
// platform and backend servers, for tests, the demo and benches.
package standin
