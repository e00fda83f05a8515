// Package daemon is under construction.
package daemon
