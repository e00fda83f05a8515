package core

import (
	"encoding/hex"
	"fmt"

	"github.com/zeebo/blake3"
)

// DigestSize is the length of a Digest in bytes.
const DigestSize = 32

// Digest is the BLAKE3-256 hash of some content. The zero value means "no
// content".
type Digest [DigestSize]byte

// DigestOf returns the digest of content.
func DigestOf(content []byte) Digest {
	return blake3.Sum256(content)
}

// ParseDigest parses the 64 hexadecimal digits that String returns.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	err := d.UnmarshalText([]byte(text))
	return d, err
}

// IsZero reports whether d is the zero value.
func (d Digest) IsZero() bool { return d == Digest{} }

// String returns 64 lower-case hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first 12 hexadecimal digits, for logs.
func (d Digest) Short() string { return hex.EncodeToString(d[:6]) }

// MarshalText implements encoding.TextMarshaler. The zero value encodes as "".
func (d Digest) MarshalText() ([]byte, error) {
	if d.IsZero() {
		return []byte{}, nil
	}
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. "" decodes to the zero
// value.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*d = Digest{}
		return nil
	}
	if len(text) != 2*DigestSize {
		return fmt.Errorf("digest %q: want %d hexadecimal digits", text, 2*DigestSize)
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("digest %q: %w", text, err)
	}
	return nil
}

// MarshalBinary implements encoding.BinaryMarshaler (32 bytes).
func (d Digest) MarshalBinary() ([]byte, error) { return d[:], nil }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (d *Digest) UnmarshalBinary(data []byte) error {
	if len(data) != DigestSize {
		return fmt.Errorf("digest of %d bytes: want %d", len(data), DigestSize)
	}
	copy(d[:], data)
	return nil
}
