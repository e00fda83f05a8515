// Package watch keeps a daemon's newest knowledge of the operators' rows and of
// the list of backend servers: from the platform's store by a feed, and from
// peers while the store does not answer. State decides without clock or I/O;
// Follower reads the store; View is the immutable result.
package watch
