// Package sharedlimit keeps the requests that all entries together send to a backend
// server under limits that hold for their sum. Each entry has a part of a limit, which
// Sharers compute without a coordinator. A Ledger counts this entry's requests against
// its parts. An entry whose part is used up or empty may ask one that has a part to give
// a place away; Ledger.Give decides that in the order in which entries began to wait.
// The package has no clock and does no I/O.
package sharedlimit
