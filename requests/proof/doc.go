// Package proof contains only tests that span the request packages: the ledger
// with a faulty table service, every fault at every step of a request, and
// requests under random faults. The tests run entries and agents in one process
// with simulated time.
package proof
