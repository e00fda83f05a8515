package upstream

import (
	"errors"
	"io"
)

// chunkedBody is the body of an answer in chunks. net/http has an unexported error for the
// end of a connection within the trailer.
type chunkedBody struct {
	io.ReadCloser
	source *limitedReader
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && b.source.err != nil {
		return n, endedWithin(b.source.err)
	}
	return n, err
}
