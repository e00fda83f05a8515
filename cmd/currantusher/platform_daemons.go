package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"currantusher.dev/core"
	"currantusher.dev/core/membudget"
	"currantusher.dev/daemon/gateway"
	"currantusher.dev/daemon/loader"
	"currantusher.dev/daemon/obs"
	"currantusher.dev/platform/headers"
	"currantusher.dev/platform/nodefile"
)

const (
	// logQueueLines bounds the log lines that wait for a slow standard output.
	logQueueLines = 4096
	// gcPercent is the runtime's default. The CPU time saved by a higher value is
	// not worth its memory on these instances.
	gcPercent = 100
)

// platformDaemonFlags are the settings that the daemons of the operators'
// platform share.
type platformDaemonFlags struct {
	logLevel, logFormat, metricsListen string
}

func (f *platformDaemonFlags) registerFlags(c *command) {
	c.settings.String(&f.logLevel, "log-level", "info", "minimum level to log: debug, info, warning or error")
	c.settings.String(&f.logFormat, "log-format", "json", "format of log lines: text or json")
	c.settings.String(&f.metricsListen, "metrics-listen", "", "IP and TCP port of /metrics; empty serves none")
}

// start ignores SIGHUP, reads the platform's settings file, sets the garbage collection
// limits and opens the log.
func (f *platformDaemonFlags) start() (nodefile.Node, *obs.Logger, error) {
	debug.SetGCPercent(gcPercent)
	// The daemons poll the settings file for changes, so SIGHUP must not end the
	// process.
	signal.Ignore(syscall.SIGHUP)
	node, err := nodefile.Load()
	if err != nil {
		return nodefile.Node{}, nil, usageError{err}
	}
	// Garbage collections become frequent well before the process fills the memory of the
	// machine.
	debug.SetMemoryLimit(membudget.RuntimeLimit(node.MemoryBytes))
	log, err := obs.NewLogger(obs.NewAsyncWriter(os.Stdout, logQueueLines), f.logLevel, f.logFormat, core.InstanceID(node.Instance))
	if err != nil {
		return nodefile.Node{}, nil, usageError{err}
	}
	return node, log, nil
}

func gatewayCommand() *command {
	var flags platformDaemonFlags
	var config gateway.Config
	c := &command{name: "gateway", usage: "Runs an entry on the operators' platform."}
	flags.registerFlags(c)
	c.settings.Duration(&config.AddressTTL, "address-ttl", gateway.DefaultAddressTTL, "time for which callers may cache a directory answer")
	c.settings.Int(&config.QueueLength, "queue-length", gateway.DefaultQueueLength, "maximum number of queued requests of one team at one service")
	c.settings.Int(&config.MaxAnswerBytes, "max-answer", gateway.DefaultMaxAnswerBytes, "largest plain answer in bytes")
	c.settings.Duration(&config.Deadline, "deadline", gateway.DefaultDeadline, "deadline of requests whose route sets none")
	c.run = func(ctx context.Context) error {
		var err error
		config.Node, config.Log, err = flags.start()
		if err != nil {
			return err
		}
		config.Headers = headers.Names()
		config.MetricsAddr = flags.metricsListen
		config.Reload = nodefile.Load
		daemon, err := gateway.New(config)
		if err != nil {
			return usageError{err}
		}
		return daemon.Run(ctx)
	}
	return c
}

func loaderCommand() *command {
	var flags platformDaemonFlags
	c := &command{name: "loader", usage: "Runs an agent on the operators' platform."}
	flags.registerFlags(c)
	c.run = func(ctx context.Context) error {
		node, log, err := flags.start()
		if err != nil {
			return err
		}
		daemon, err := loader.New(loader.Config{Node: node, MetricsAddr: flags.metricsListen, Log: log})
		if err != nil {
			return usageError{err}
		}
		return daemon.Run(ctx)
	}
	return c
}
