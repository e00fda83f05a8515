package weights

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"currantusher.dev/core"
)

// MaxChunkBytes bounds the size of a chunk.
const MaxChunkBytes = 2 << 20

const manifestFormatVersion = 1

// Chunk is a contiguous part of the concatenated files. Size is in bytes.
type Chunk struct {
	Digest core.Digest `cbor:"1,keyasint" json:"digest"`
	Size   int64       `cbor:"2,keyasint" json:"size"`
}

// File is a file of a version. The concatenated chunks hold the files in the
// order of the manifest. Size is in bytes.
type File struct {
	Path string `cbor:"1,keyasint" json:"path"`
	Size int64  `cbor:"2,keyasint" json:"size"`
}

// Manifest lists the files and chunks of a version.
type Manifest struct {
	Format int     `cbor:"1,keyasint" json:"format"`
	Files  []File  `cbor:"2,keyasint" json:"files"`
	Chunks []Chunk `cbor:"3,keyasint" json:"chunks"`
}

// Size returns the total size of the chunks in bytes.
func (m Manifest) Size() int64 {
	var sum int64
	for _, chunk := range m.Chunks {
		sum += chunk.Size
	}
	return sum
}

var manifestEncoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the canonical encoding of the manifest and the root digest.
func (m Manifest) Encode() ([]byte, core.Digest, error) {
	m.Format = manifestFormatVersion
	encoded, err := manifestEncoding.Marshal(m)
	if err != nil {
		return nil, core.Digest{}, fmt.Errorf("encode manifest: %w", err)
	}
	return encoded, core.DigestOf(encoded), nil
}

// DecodeManifest verifies that encoded has the digest root, decodes it and
// validates the manifest. Errors carry CodeManifestInvalid.
func DecodeManifest(encoded []byte, root core.Digest) (Manifest, error) {
	if got := core.DigestOf(encoded); got != root {
		return Manifest{}, manifestError("manifest digest is %s, want %s", got.Short(), root.Short())
	}
	var manifest Manifest
	if err := cbor.Unmarshal(encoded, &manifest); err != nil {
		return Manifest{}, manifestError("decode manifest: %v", err)
	}
	return manifest, manifest.validate()
}

func (m Manifest) validate() error {
	if m.Format != manifestFormatVersion {
		return manifestError("manifest format %d is not supported", m.Format)
	}
	if len(m.Chunks) == 0 {
		return manifestError("manifest has no chunks")
	}
	var fileBytes int64
	for _, file := range m.Files {
		if file.Size < 0 {
			return manifestError("file %q has the negative size %d", file.Path, file.Size)
		}
		fileBytes += file.Size
	}
	for i, chunk := range m.Chunks {
		if chunk.Size <= 0 || chunk.Size > MaxChunkBytes {
			return manifestError("chunk %d has size %d, which is zero, negative or over the limit", i, chunk.Size)
		}
	}
	if fileBytes != m.Size() {
		return manifestError("files have %d bytes in total, but chunks have %d", fileBytes, m.Size())
	}
	return nil
}

func manifestError(format string, args ...any) error {
	return core.NewFailure(core.CodeManifestInvalid, core.ExecutionNotRun, format, args...)
}
