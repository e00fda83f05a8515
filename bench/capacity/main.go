// Command capacity measures the cost of control traffic on this computer: memory
// per connection, processor time and bytes per message, and the cost of
// membership in a fleet of many daemons in one process.
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
	connections       int
	messagesPerSecond int
	entries           int
	agents            int
	duration          time.Duration
	warmUp            time.Duration
	countTraffic      bool
	editInterval      time.Duration
}

type measurement struct {
	name string
	help string
	run  func(ctx context.Context, s settings) (any, error)
}

var measurements = []measurement{
	{"connections", "heap and goroutines of idle connections", measureConnections},
	{"idle", "bytes and datagrams of one idle connection", measureIdle},
	{"heartbeats", "processor time and bytes of heartbeats", measureHeartbeats},
	{"calls", "processor time and bytes of small calls", measureCalls},
	{"frames", "processor time and bytes of frames that an entry receives", measureFrames},
	{"fleet", "membership of a whole fleet in one process", measureFleet},
}

func main() {
	s := settings{
		connections: 200, messagesPerSecond: 1000, entries: 9, agents: 14,
		duration: 10 * time.Second, warmUp: 15 * time.Second,
	}
	flaggy.SetName("capacity")
	flaggy.SetDescription("Measures the cost of control traffic on this computer.")
	flaggy.Int(&s.connections, "", "connections", "number of connections")
	flaggy.Int(&s.messagesPerSecond, "", "rate", "messages per second over all connections")
	flaggy.Int(&s.entries, "", "entries", "number of entries of the fleet")
	flaggy.Int(&s.agents, "", "agents", "number of agents of the fleet")
	flaggy.Duration(&s.duration, "", "duration", "length of the measurement")
	flaggy.Duration(&s.warmUp, "", "warm-up", "time before the measurement of a fleet")
	flaggy.Duration(&s.editInterval, "", "edit-every", "time between edits in a fleet; 0 makes no edits")
	flaggy.Bool(&s.countTraffic, "", "count", "count the bytes of a fleet with relays; relays add processor time")
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
			printResult(m.run(ctx, s))
			return
		}
	}
	flaggy.ShowHelpAndExit("No measurement given; want one of the subcommands.")
}

func printResult(result any, err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(result)
}
