package weights

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"currantusher.dev/core"
)

// DefaultChunkBytes is the default chunk size of Publish.
const DefaultChunkBytes = 1 << 20

// Sink stores chunks and manifests. PutChunk and PutManifest are idempotent.
type Sink interface {
	// HasChunk reports whether the sink holds the chunk.
	HasChunk(ctx context.Context, digest core.Digest) (bool, error)
	PutChunk(ctx context.Context, digest core.Digest, content []byte) error
	PutManifest(ctx context.Context, root core.Digest, encoded []byte) error
}

// PublishConfig configures Publish. The zero value selects the defaults.
type PublishConfig struct {
	// ChunkBytes is the chunk size in bytes; 0 means DefaultChunkBytes.
	ChunkBytes int
	// Progress is called after each chunk with the bytes published so far and
	// in total.
	Progress func(done, total int64)
}

func (c *PublishConfig) applyDefaults() error {
	if c.ChunkBytes == 0 {
		c.ChunkBytes = DefaultChunkBytes
	}
	if c.ChunkBytes < 0 || c.ChunkBytes > MaxChunkBytes {
		return fmt.Errorf("chunk size %d: want 1 to %d bytes", c.ChunkBytes, MaxChunkBytes)
	}
	if c.Progress == nil {
		c.Progress = func(int64, int64) {}
	}
	return nil
}

// Publish splits a file, or all files below a directory, into chunks, stores the
// chunks that sink does not hold, and then the manifest. Each file starts a new
// chunk, so that a change of a file's length does not change the chunks of other
// files. Only one chunk is held in memory.
func Publish(ctx context.Context, path string, sink Sink, config PublishConfig) (core.Digest, Manifest, error) {
	if err := config.applyDefaults(); err != nil {
		return core.Digest{}, Manifest{}, err
	}
	files, err := listFiles(path)
	if err != nil {
		return core.Digest{}, Manifest{}, fmt.Errorf("publish %q: %w", path, err)
	}
	run := publishRun{sink: sink, config: config, buffer: make([]byte, config.ChunkBytes)}
	for _, file := range files {
		run.total += file.size
	}
	for _, file := range files {
		if err := run.addFile(ctx, file); err != nil {
			return core.Digest{}, Manifest{}, fmt.Errorf("publish %q: %w", file.path, err)
		}
	}
	return run.finish(ctx)
}

type sourceFile struct {
	path string
	name string
	size int64
}

func listFiles(path string) ([]sourceFile, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []sourceFile{{path: path, name: filepath.Base(path), size: info.Size()}}, nil
	}
	var files []sourceFile
	err = filepath.WalkDir(path, func(filePath string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return err
		}
		info, err := entry.Info()
		if err != nil {
			return err
		}
		name, err := filepath.Rel(path, filePath)
		if err != nil {
			return err
		}
		files = append(files, sourceFile{path: filePath, name: filepath.ToSlash(name), size: info.Size()})
		return nil
	})
	return files, err
}

type publishRun struct {
	sink     Sink
	config   PublishConfig
	buffer   []byte
	manifest Manifest
	done     int64
	total    int64
}

func (p *publishRun) addFile(ctx context.Context, file sourceFile) error {
	opened, err := os.Open(file.path)
	if err != nil {
		return err
	}
	defer opened.Close()
	var size int64
	for {
		n, err := io.ReadFull(opened, p.buffer)
		if n > 0 {
			if err := p.addChunk(ctx, p.buffer[:n]); err != nil {
				return err
			}
			size += int64(n)
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	p.manifest.Files = append(p.manifest.Files, File{Path: file.name, Size: size})
	return nil
}

func (p *publishRun) addChunk(ctx context.Context, content []byte) error {
	digest := core.DigestOf(content)
	exists, err := p.sink.HasChunk(ctx, digest)
	if err != nil {
		return err
	}
	if !exists {
		if err := p.sink.PutChunk(ctx, digest, content); err != nil {
			return err
		}
	}
	p.manifest.Chunks = append(p.manifest.Chunks, Chunk{Digest: digest, Size: int64(len(content))})
	p.done += int64(len(content))
	p.config.Progress(p.done, p.total)
	return nil
}

func (p *publishRun) finish(ctx context.Context) (core.Digest, Manifest, error) {
	encoded, root, err := p.manifest.Encode()
	if err != nil {
		return core.Digest{}, Manifest{}, err
	}
	manifest, err := DecodeManifest(encoded, root)
	if err != nil {
		return core.Digest{}, Manifest{}, err
	}
	if err := p.sink.PutManifest(ctx, root, encoded); err != nil {
		return core.Digest{}, Manifest{}, err
	}
	return root, manifest, nil
}
