// Package watch keeps a daemon's view of the operators' rows and of the list of
// backend servers up to date. It reads them from the platform's store, and from
// peers while the store does not reply. State is a state machine without clock
// or I/O, Follower reads the store, and View is the immutable result.
package watch
