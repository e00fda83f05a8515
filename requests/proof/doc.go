// Package proof holds the tests that cross the request packages: the ledger
// against a faulty table service, the fault matrix, and random histories. It
// has no code of its own.
package proof
