package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"currantusher.dev/core"
	"currantusher.dev/daemon/gateway"
	"currantusher.dev/daemon/loader"
	"currantusher.dev/daemon/obs"
	"currantusher.dev/platform/headers"
	"currantusher.dev/platform/nodefile"
)

const (
	// logLines bounds the log lines that wait for a slow standard output.
	logLines = 4096
	// collectPercent is the runtime's default. A higher one costs more memory
	// than the processor time that it saves is worth there.
	collectPercent = 100
	// heapLimit makes collections frequent long before a process reaches the
	// smallest instance's memory of 152 MB.
	heapLimit = 96 << 20
)

// deployedFlags are the settings that daemons on the operators' platform share.
type deployedFlags struct {
	logLevel, logFormat, metricsListen string
}

func (f *deployedFlags) define(c *command) {
	c.settings.String(&f.logLevel, "log-level", "info", "lowest level to log: debug, info, warning or error")
	c.settings.String(&f.logFormat, "log-format", "json", "text or json")
	c.settings.String(&f.metricsListen, "metrics-listen", "", "IP and TCP port of /metrics; empty serves none")
}

// start reads the platform's settings file and opens the log.
func (f *deployedFlags) start() (nodefile.Node, *obs.Logger, error) {
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(heapLimit)
	// A changed settings file is found by looking at it.
	signal.Ignore(syscall.SIGHUP)
	node, err := nodefile.Load()
	if err != nil {
		return nodefile.Node{}, nil, usageError{err}
	}
	log, err := obs.NewLogger(obs.NewAsyncWriter(os.Stdout, logLines), f.logLevel, f.logFormat, core.InstanceID(node.Instance))
	if err != nil {
		return nodefile.Node{}, nil, usageError{err}
	}
	return node, log, nil
}

func gatewayCommand() *command {
	var flags deployedFlags
	var config gateway.Config
	c := &command{name: "gateway", usage: "Runs an entry on the operators' platform."}
	flags.define(c)
	c.settings.Duration(&config.AddressTTL, "address-ttl", gateway.DefaultAddressTTL, "how long callers keep a directory answer")
	c.settings.Int(&config.QueueLength, "queue-length", gateway.DefaultQueueLength, "waiting requests of one team at one service")
	c.settings.Int(&config.MaxAnswerBytes, "max-answer", gateway.DefaultMaxAnswerBytes, "largest plain answer in bytes")
	c.settings.Duration(&config.Deadline, "deadline", gateway.DefaultDeadline, "deadline of requests whose route gives none")
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
	var flags deployedFlags
	c := &command{name: "loader", usage: "Runs an agent on the operators' platform."}
	flags.define(c)
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
