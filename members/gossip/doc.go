// Package gossip exchanges the state of the entries over datagrams: which
// entries are alive, ready or leaving, how many requests each has in flight at
// the backend servers, and which revisions of the platform's tables each has.
// None of the state is stored; a new process receives all of it within a few
// periods. State implements the protocol without a clock or I/O, and Node sends
// and receives the messages.
package gossip
