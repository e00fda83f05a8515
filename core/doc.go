// Package core holds the types that all other modules share: names, digests,
// revisions, result codes and errors. It has no clock and does no I/O.
package core
