// Package gateway implements the entry daemon for the operators' platform. It
// serves the directory from which callers get entry addresses, accepts callers'
// requests and forwards them directly to backend servers, without agents in
// between. It has no persistent state.
package gateway
