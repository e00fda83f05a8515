package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"currantusher.dev/api/oas"
	"currantusher.dev/weights"
	"currantusher.dev/weights/source"
)

func weightsCommand() *command {
	return &command{
		name:     "weights",
		usage:    "Publishes versions of weights and shows their distribution.",
		children: []*command{weightsPublishCommand(), weightsStatusCommand()},
	}
}

func weightsPublishCommand() *command {
	var op operatorClient
	var flags editFlags
	var path, pool, origin, store string
	var chunkBytes int
	c := &command{
		name:        "publish",
		usage:       "Uploads a file or folder to the origin and pins it in a pool.",
		positionals: []positional{{target: &path, name: "PATH", usage: "file or folder", required: true}},
	}
	op.registerFlags(&c.settings)
	flags.registerFlags(c)
	c.settings.String(&pool, "pool", "", "pool that gets the version")
	c.settings.String(&origin, "origin-url", "http://127.0.0.1:9300", "URL of the origin of weights")
	c.settings.String(&store, "weight-store-url", "", "URL of the weight store; empty for none")
	c.settings.Int(&chunkBytes, "chunk-bytes", weights.DefaultChunkBytes, "chunk size in bytes")
	c.run = func(ctx context.Context) error {
		if pool == "" {
			return usageError{fmt.Errorf("--pool is required")}
		}
		row, err := poolRow(ctx, &op, pool)
		if err != nil {
			return err
		}
		root := ""
		for _, url := range []string{origin, store} {
			if url == "" {
				continue
			}
			if root, err = publishTo(ctx, path, url, chunkBytes); err != nil {
				return err
			}
		}
		row.Weights = oas.NewOptString(root)
		return flags.send(ctx, &op, &oas.Edit{SetPools: []oas.Pool{row}})
	}
	return c
}

func poolRow(ctx context.Context, op *operatorClient, name string) (oas.Pool, error) {
	client, err := op.apiClient()
	if err != nil {
		return oas.Pool{}, err
	}
	content, err := client.GetTables(ctx)
	if err != nil {
		return oas.Pool{}, problemToError(err)
	}
	for _, row := range content.Pools {
		if row.Name == name {
			return row, nil
		}
	}
	return oas.Pool{}, fmt.Errorf("no pool %q", name)
}

func publishTo(ctx context.Context, path, url string, chunkBytes int) (string, error) {
	sink, err := source.New(source.Config{URL: url})
	if err != nil {
		return "", usageError{err}
	}
	root, manifest, err := weights.Publish(ctx, path, sink, weights.PublishConfig{
		ChunkBytes: chunkBytes,
		Progress:   progressBar(),
	})
	if err != nil {
		return "", err
	}
	fmt.Printf("stored %s: %d bytes in %d chunks\n", root, manifest.Size(), len(manifest.Chunks))
	return root.String(), nil
}

// progressBar returns a callback that draws a progress bar, or nil if standard
// error is not a terminal.
func progressBar() func(done, total int64) {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return nil
	}
	var bar *progressbar.ProgressBar
	return func(done, total int64) {
		if bar == nil {
			bar = progressbar.DefaultBytes(total, "publish")
		}
		_ = bar.Set64(done)
	}
}

func weightsStatusCommand() *command {
	var op operatorClient
	var store string
	c := &command{name: "status", usage: "Prints the version and progress of each backend server."}
	op.registerFlags(&c.settings)
	c.settings.String(&store, "store", "", storeUsage)
	c.run = func(ctx context.Context) error {
		if store != "" {
			return printStoreWeights(ctx, store)
		}
		client, err := op.apiClient()
		if err != nil {
			return err
		}
		status, err := client.GetStatus(ctx)
		if err != nil {
			return problemToError(err)
		}
		if op.json {
			return printJSON(status.Daemons)
		}
		return printVersions(status)
	}
	return c
}

func printVersions(status *oas.Status) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "INSTANCE\tDATA CENTRE\tIN USE\tTARGET\tCHUNKS")
	updated, total := 0, 0
	for _, d := range status.Daemons {
		target := d.TargetWeights.Or("")
		if target == "" {
			continue
		}
		total++
		if d.Weights.Or("") == target {
			updated++
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d/%d\n", d.Instance, d.DataCentre, shortDigest(d.Weights.Or("")), shortDigest(target), d.ChunksDone.Or(0), d.ChunksTotal.Or(0))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Printf("%d of %d backend servers use their target version\n", updated, total)
	return nil
}
