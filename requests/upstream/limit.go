package upstream

import (
	"bytes"
	"io"
)

// limitedReader bounds the bytes that are read from source while a limit is set.
type limitedReader struct {
	source io.Reader
	// remaining is the number of bytes that may still be read if isLimited is set.
	remaining int
	isLimited bool
	// lines counts the lines of the head that were parsed, and lastLines those in the last
	// block, which may hold a part of the body.
	lines, lastLines int
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
	// The head goes on after the last block.
	r.lines += r.lastLines
	r.lastLines = 0
	if r.isExhausted() {
		return 0, ErrHeadTooLarge
	}
	n, err := r.source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	r.lastLines = bytes.Count(p[:n], []byte{'\n'})
	r.err = err
	return n, err
}

func (r *limitedReader) limit(bytes int) { r.remaining, r.isLimited = bytes, true }

// startHead begins the count of the lines of another head.
func (r *limitedReader) startHead() { r.lines, r.lastLines = 0, 0 }

func (r *limitedReader) unlimit() { r.isLimited = false }

// isExhausted reports whether the limit was reached.
func (r *limitedReader) isExhausted() bool {
	return r.isLimited && (r.remaining == 0 || r.lines > maxHeadLines)
}
