// Command capacity measures what control traffic costs on this machine: memory
// for each connection, processor time and bytes for each message, and the
// whole of membership in a fleet of many daemons in one process.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"
)

type settings struct {
	connections int
	rate        int
	entries     int
	agents      int
	duration    time.Duration
	warmUp      time.Duration
	count       bool
	editEvery   time.Duration
}

type measurement struct {
	name string
	help string
	run  func(ctx context.Context, s settings) (any, error)
}

var measurements = []measurement{
	{"connections", "heap and goroutines of idle connections", measureConnections},
	{"idle", "bytes of an idle connection's keepalives", measureIdle},
	{"heartbeats", "processor time and bytes of heartbeats", measureHeartbeats},
	{"calls", "processor time and bytes of small calls", measureCalls},
	{"frames", "processor time of frames that an entry relays", measureFrames},
	{"fleet", "membership of a whole fleet in one process", measureFleet},
}

func main() {
	s := settings{
		connections: 200, rate: 1000, entries: 9, agents: 14,
		duration: 10 * time.Second, warmUp: 15 * time.Second,
	}
	flaggy.SetName("capacity")
	flaggy.SetDescription("Measures the cost of control traffic on this machine.")
	flaggy.Int(&s.connections, "", "connections", "number of connections")
	flaggy.Int(&s.rate, "", "rate", "messages a second, over all connections")
	flaggy.Int(&s.entries, "", "entries", "number of entries of the fleet")
	flaggy.Int(&s.agents, "", "agents", "number of agents of the fleet")
	flaggy.Duration(&s.duration, "", "duration", "length of the measurement")
	flaggy.Duration(&s.warmUp, "", "warm-up", "time before the measurement of a fleet")
	flaggy.Duration(&s.editEvery, "", "edit-every", "time between revisions in a fleet, 0 for none")
	flaggy.Bool(&s.count, "", "count", "count the bytes of a fleet with relays, which cost processor time")
	commands := make([]*flaggy.Subcommand, len(measurements))
	for i, m := range measurements {
		commands[i] = flaggy.NewSubcommand(m.name)
		commands[i].Description = m.help
		flaggy.AttachSubcommand(commands[i], 1)
	}
	flaggy.Parse()
	logrus.SetLevel(logrus.ErrorLevel)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	for i, m := range measurements {
		if commands[i].Used {
			report(m.run(ctx, s))
			return
		}
	}
	flaggy.ShowHelpAndExit("Name a measurement.")
}

func report(result any, err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(result)
}
