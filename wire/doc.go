// Package wire carries typed messages between daemons: CBOR frames on QUIC
// streams, one stream for each call, with mutual TLS. It has no policy; each
// message family stands in a file of its own.
package wire
