package upstream

import "io"

// limitedReader bounds the bytes that are read from source while a limit is set.
type limitedReader struct {
	source io.Reader
	// remaining is the number of bytes that may still be read if isLimited is set.
	remaining int
	isLimited bool
	// err is the error of the last read of the source, or nil.
	err error
}

// Read implements io.Reader. It returns ErrHeadTooLarge at the limit.
func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.isLimited {
		n, err := r.source.Read(p)
		r.err = err
		return n, err
	}
	if r.isExhausted() {
		return 0, ErrHeadTooLarge
	}
	n, err := r.source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	r.err = err
	return n, err
}

func (r *limitedReader) limit(bytes int) { r.remaining, r.isLimited = bytes, true }

func (r *limitedReader) unlimit() { r.isLimited = false }

// isExhausted reports whether the limit was reached.
func (r *limitedReader) isExhausted() bool { return r.isLimited && r.remaining == 0 }
