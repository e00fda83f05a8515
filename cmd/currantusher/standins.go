package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"currantusher.dev/standin/engine"
	"currantusher.dev/standin/origin"
	"currantusher.dev/standin/service"
	"currantusher.dev/standin/store"
)

const standinHeaderTimeout = 5 * time.Second

func standinCommand() *command {
	return &command{
		name:  "standin",
		usage: "Runs a stand-in for an external system, for tests. Inject faults with POST /faults (engine, service) or PUT /faults (store, list).",
		children: []*command{
			standinStoreCommand("store", "Table service, object store and list of instances."),
			standinStoreCommand("list", "The same server as store, for a list of instances at a separate address."),
			standinOriginCommand(),
			standinEngineCommand(),
			standinServiceCommand(),
		},
	}
}

// serveStandin serves until ctx ends.
func serveStandin(ctx context.Context, name, listen string, handler http.Handler) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return usageError{fmt.Errorf("listen: %w", err)}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	fmt.Printf("stand-in %s on http://%s\n", name, listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func standinStoreCommand(name, usage string) *command {
	var listen string
	var config store.Config
	c := &command{name: name, usage: usage}
	c.settings.String(&listen, "listen", "127.0.0.1:9000", "IP and TCP port to listen on")
	c.settings.Float(&config.ReadsPerSecond, "reads-per-second", 2000, "rate above which reads are refused")
	c.settings.Float(&config.WritesPerSecond, "writes-per-second", 500, "rate above which writes are refused")
	c.settings.Duration(&config.ListLag, "list-lag", 2*time.Second, "delay until an announcement appears in the list")
	c.settings.Duration(&config.ListRetention, "list-retention", 30*time.Second, "time after its last announcement until an instance is removed from the list")
	c.run = func(ctx context.Context) error {
		return serveStandin(ctx, name, listen, store.New(config))
	}
	return c
}

func standinOriginCommand() *command {
	var listen string
	var config origin.Config
	c := &command{name: "origin", usage: "Origin of weights, or the rate-limited weight store."}
	c.settings.String(&listen, "listen", "127.0.0.1:9300", "IP and TCP port to listen on")
	c.settings.Int(&config.BytesPerSecond, "bytes-per-second", 0, "rate limit of all responses in bytes per second; 0 means no limit")
	c.run = func(ctx context.Context) error {
		return serveStandin(ctx, "origin", listen, origin.New(config))
	}
	return c
}

func standinEngineCommand() *command {
	var listen string
	var ignoreFence bool
	var config engine.Config
	c := &command{name: "engine", usage: "Model engine."}
	c.settings.String(&listen, "listen", "127.0.0.1:9100", "IP and TCP port to listen on")
	c.settings.Duration(&config.TokenDelay, "token-delay", 20*time.Millisecond, "time between two tokens of a warm engine")
	c.settings.Duration(&config.WarmUp, "warm-up", 3*time.Second, "duration of a cold start")
	c.settings.Int(&config.ColdLimit, "cold-limit", 2, "maximum concurrent requests during a cold start; more make the engine restart")
	c.settings.Int(&config.WarmLimit, "warm-limit", 16, "maximum concurrent requests of a warm engine")
	c.settings.Bool(&ignoreFence, "ignore-fence", "execute commands with stale fencing tokens")
	c.run = func(ctx context.Context) error {
		config.CheckFence = !ignoreFence
		return serveStandin(ctx, "engine", listen, engine.New(config))
	}
	return c
}

func standinServiceCommand() *command {
	var listen string
	var config service.Config
	c := &command{name: "service", usage: "Plain service whose calls must not be repeated."}
	c.settings.String(&listen, "listen", "127.0.0.1:9200", "IP and TCP port to listen on")
	c.settings.Duration(&config.Delay, "delay", 20*time.Millisecond, "processing time of a request of a warm service")
	c.settings.Duration(&config.WarmUp, "warm-up", time.Second, "duration of a cold start")
	c.settings.Int(&config.ColdLimit, "cold-limit", 2, "maximum concurrent requests during a cold start; more make the service restart")
	c.settings.Int(&config.WarmLimit, "warm-limit", 16, "maximum concurrent requests of a warm service")
	c.run = func(ctx context.Context) error {
		return serveStandin(ctx, "service", listen, service.New(config))
	}
	return c
}
