package main

import (
	"context"
	"fmt"
	"slices"

	"github.com/integrii/flaggy"

	"currantusher.dev/daemon/settings"
)

// command is one node of the command tree.
type command struct {
	name     string
	usage    string
	settings settings.Set
	values   []value
	// rest takes the arguments after the values, for commands that have any
	// number of them.
	rest     *[]string
	children []*command
	run      func(ctx context.Context) error

	sub *flaggy.Subcommand
}

// value is a positional argument.
type value struct {
	target   *string
	name     string
	usage    string
	required bool
}

func attach(parent *flaggy.Subcommand, commands []*command) {
	for _, c := range commands {
		c.sub = flaggy.NewSubcommand(c.name)
		c.sub.Description = c.usage
		c.settings.Bind(c.sub)
		for i, v := range c.values {
			c.sub.AddPositionalValue(v.target, v.name, i+1, v.required, v.usage)
		}
		attach(c.sub, c.children)
		parent.AttachSubcommand(c.sub, 1)
	}
}

// separateRest marks where the rest of a command's arguments begins, which the
// flag library can't tell from values.
func separateRest(commands []*command, args []string) []string {
	for _, c := range commands {
		if c.rest == nil || len(args) == 0 || args[0] != c.name || slices.Contains(args, "--") {
			continue
		}
		if at := 1 + len(c.values); at < len(args) {
			return slices.Insert(slices.Clone(args), at, "--")
		}
	}
	return args
}

// find returns the most specific command that was used.
func find(commands []*command) *command {
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		if child := find(c.children); child != nil {
			return child
		}
		return c
	}
	return nil
}

func rootCommands() []*command {
	return []*command{
		entryCommand(),
		agentCommand(),
		gatewayCommand(),
		loaderCommand(),
		standinCommand(),
		tableCommand(routeTable),
		tableCommand(poolTable),
		dataCentreCommand(),
		tableCommand(teamTable),
		applyCommand(),
		historyCommand(),
		diffCommand(),
		statusCommand(),
		weightsCommand(),
		reportCommand(),
		explainCommand(),
		checkCommand(),
		keysCommand(),
		demoCommand(),
		benchCommand(),
		versionCommand(),
	}
}

func versionCommand() *command {
	return &command{
		name:  "version",
		usage: "Prints the version.",
		run: func(context.Context) error {
			fmt.Println(version)
			return nil
		},
	}
}
