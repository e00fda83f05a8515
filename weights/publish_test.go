package weights

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
)

type memorySink struct {
	chunks    map[core.Digest][]byte
	manifests map[core.Digest][]byte
	chunkPuts int
}

func newMemorySink() *memorySink {
	return &memorySink{chunks: map[core.Digest][]byte{}, manifests: map[core.Digest][]byte{}}
}

func (s *memorySink) HasChunk(_ context.Context, digest core.Digest) (bool, error) {
	_, ok := s.chunks[digest]
	return ok, nil
}

func (s *memorySink) PutChunk(_ context.Context, digest core.Digest, content []byte) error {
	s.chunkPuts++
	s.chunks[digest] = append([]byte(nil), content...)
	return nil
}

func (s *memorySink) PutManifest(_ context.Context, root core.Digest, encoded []byte) error {
	s.manifests[root] = encoded
	return nil
}

func writeFile(t *testing.T, dir, name, content string) {
	t.Helper()
	require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
}

func TestPublishReusesChunks(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "a", "aaaabb")
	writeFile(t, dir, "b", "ccccdddd")
	sink := newMemorySink()
	var done, total int64
	config := PublishConfig{ChunkBytes: 4, Progress: func(d, all int64) { done, total = d, all }}
	root, manifest, err := Publish(t.Context(), dir, sink, config)
	require.NoError(t, err)
	require.Equal(t, int64(14), total)
	require.Equal(t, total, done)
	require.Len(t, manifest.Chunks, 4)
	require.Equal(t, 4, sink.chunkPuts)
	decoded, err := DecodeManifest(sink.manifests[root], root)
	require.NoError(t, err)
	require.Equal(t, int64(14), decoded.Size())

	writeFile(t, dir, "a", "aaaabbb")
	newRoot, _, err := Publish(t.Context(), dir, sink, config)
	require.NoError(t, err)
	require.NotEqual(t, root, newRoot)
	require.Equal(t, 5, sink.chunkPuts, "only the last chunk of the longer file changes")
}

func TestPublishEmptyDirectoryFails(t *testing.T) {
	_, _, err := Publish(t.Context(), t.TempDir(), newMemorySink(), PublishConfig{})
	require.Equal(t, core.CodeManifestInvalid, core.CodeOf(err))
}

func FuzzDecodeManifest(f *testing.F) {
	valid := Manifest{
		Files:  []File{{Path: "weights", Size: 4}},
		Chunks: []Chunk{{Digest: core.DigestOf([]byte("abcd")), Size: 4}},
	}
	encoded, _, err := valid.Encode()
	require.NoError(f, err)
	f.Add(encoded)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, content []byte) {
		manifest, err := DecodeManifest(content, core.DigestOf(content))
		if err != nil {
			require.Equal(t, core.CodeManifestInvalid, core.CodeOf(err))
			return
		}
		require.Positive(t, manifest.Size())
		for _, chunk := range manifest.Chunks {
			require.LessOrEqual(t, chunk.Size, int64(MaxChunkBytes))
		}
	})
}
