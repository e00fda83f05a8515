// Package daemon is the root of the packages of the long-running processes.
// Package entry serves callers and operators; package agent runs beside a backend
// server.
package daemon
