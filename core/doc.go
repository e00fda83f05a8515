// Package core holds the plain types that every other module shares: names,
// digests, revisions, result codes and errors. It has no clock and does no I/O.
package core
