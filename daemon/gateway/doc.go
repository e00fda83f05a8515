// Package gateway is the entry as it runs on the operators' platform: it tells
// callers where to connect, takes their requests and sends them straight to the
// backend servers. It keeps nothing that must last.
package gateway
