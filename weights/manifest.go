package weights

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"currantusher.dev/core"
)

// MaxChunkBytes bounds the size of one chunk in bytes.
const MaxChunkBytes = 2 << 20

const manifestFormat = 1

// Chunk is one contiguous part of the concatenated files.
type Chunk struct {
	Digest core.Digest `cbor:"1,keyasint" json:"digest"`
	Size   int64       `cbor:"2,keyasint" json:"size"`
}

// File names one file of a version. Files follow each other in the chunks'
// bytes in the order of the manifest.
type File struct {
	Path string `cbor:"1,keyasint" json:"path"`
	Size int64  `cbor:"2,keyasint" json:"size"`
}

// Manifest lists the files and chunks of one version.
type Manifest struct {
	Format int     `cbor:"1,keyasint" json:"format"`
	Files  []File  `cbor:"2,keyasint" json:"files"`
	Chunks []Chunk `cbor:"3,keyasint" json:"chunks"`
}

// Size returns the sum of the chunks' sizes in bytes.
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

// Encode returns the canonical encoding and the root digest.
func (m Manifest) Encode() ([]byte, core.Digest, error) {
	m.Format = manifestFormat
	encoded, err := manifestEncoding.Marshal(m)
	if err != nil {
		return nil, core.Digest{}, fmt.Errorf("encode manifest: %w", err)
	}
	return encoded, core.DigestOf(encoded), nil
}

// DecodeManifest checks encoded against root and decodes it. The error carries
// CodeManifestInvalid.
func DecodeManifest(encoded []byte, root core.Digest) (Manifest, error) {
	if got := core.DigestOf(encoded); got != root {
		return Manifest{}, invalidManifest("digest is %s, want %s", got.Short(), root.Short())
	}
	var manifest Manifest
	if err := cbor.Unmarshal(encoded, &manifest); err != nil {
		return Manifest{}, invalidManifest("decode: %v", err)
	}
	return manifest, manifest.validate()
}

func (m Manifest) validate() error {
	if m.Format != manifestFormat {
		return invalidManifest("format %d is not supported", m.Format)
	}
	if len(m.Chunks) == 0 {
		return invalidManifest("no chunks")
	}
	var files int64
	for _, file := range m.Files {
		if file.Size < 0 {
			return invalidManifest("file %q has size %d", file.Path, file.Size)
		}
		files += file.Size
	}
	for i, chunk := range m.Chunks {
		if chunk.Size <= 0 || chunk.Size > MaxChunkBytes {
			return invalidManifest("chunk %d has size %d", i, chunk.Size)
		}
	}
	if files != m.Size() {
		return invalidManifest("files have %d bytes and chunks %d", files, m.Size())
	}
	return nil
}

func invalidManifest(format string, args ...any) error {
	return core.NewFailure(core.CodeManifestInvalid, core.ExecutionNotRun, format, args...)
}
