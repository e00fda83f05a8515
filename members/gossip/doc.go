// Package gossip tells entries of each other over datagrams: who lives, who is
// ready, who leaves, how much work each has at the backend servers, and which
// revisions of the platform's tables each knows. Nothing in it must last: a
// new process learns all of it within a few periods. State decides without
// clock or I/O; Node carries the messages.
package gossip
