// Package lease implements a lease for the right to send commands, for example
// to a backend server. One process at a time holds the lease, which is stored
// in a row of the table service together with a fencing token that grows with
// each holder.
package lease
