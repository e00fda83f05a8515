// Package e2e tests the currantusher binary end to end. Its daemons run as
// separate processes that are killed, paused and stopped while requests run. The
// package contains tests only.
package e2e
