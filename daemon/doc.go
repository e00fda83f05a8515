// Package daemon is the root of the long-running processes: package entry
// serves callers and operators, package agent runs in a backend server
// instance's slot.
package daemon
