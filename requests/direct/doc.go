// Package direct carries a request to a backend server over HTTP/1.1 without an
// agent between. An Exchange is the transport and the caller's side of one
// request for package dispatch, which decides where it goes, whether it may be
// sent again and what the caller is told.
package direct
