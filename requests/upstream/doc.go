// Package upstream provides a pool of HTTP/1.1 connections to backend servers.
// It never resends a request, unlike net/http, and closes a connection after
// anything unexpected.
package upstream
