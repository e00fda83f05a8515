// Package direct sends requests to backend servers over HTTP/1.1, without an
// agent in between. An Exchange implements dispatch.Sender and dispatch.Sink for
// one request: the connection to the server and the answer to the caller.
// Package dispatch picks the server, retries, and decides the final result.
package direct
