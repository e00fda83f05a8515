// Package upstream keeps HTTP/1.1 connections to backend servers. Each request
// is written once at most: nothing is repeated, and a connection on which
// anything unexpected was seen is closed.
package upstream
