// Package e2e tests the binary as separate processes that are killed, paused
// and stopped while requests run. It holds tests only.
package e2e
