// Package wire implements the protocol between daemons: typed messages in CBOR
// frames on QUIC streams with mutual TLS, one stream per call. Retries and
// routing are left to the callers. Each group of messages has its own file.
package wire
