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
	name        string
	usage       string
	settings    settings.Set
	positionals []positional
	// trailing receives the arguments after the positionals; nil if the command
	// takes a fixed number of arguments.
	trailing *[]string
	children []*command
	run      func(ctx context.Context) error

	// sub is set by attachCommands.
	sub *flaggy.Subcommand
}

// positional is a positional argument.
type positional struct {
	target   *string
	name     string
	usage    string
	required bool
}

// attachCommands adds commands and their children to the parser's command tree.
func attachCommands(parent *flaggy.Subcommand, commands []*command) {
	for _, c := range commands {
		c.sub = flaggy.NewSubcommand(c.name)
		c.sub.Description = c.usage
		c.settings.Bind(c.sub)
		for i, v := range c.positionals {
			c.sub.AddPositionalValue(v.target, v.name, i+1, v.required, v.usage)
		}
		attachCommands(c.sub, c.children)
		parent.AttachSubcommand(c.sub, 1)
	}
}

// insertArgSeparator inserts "--" before the trailing arguments of a command,
// because flaggy does not distinguish them from positional values.
func insertArgSeparator(commands []*command, args []string) []string {
	for _, c := range commands {
		if c.trailing == nil || len(args) == 0 || args[0] != c.name || slices.Contains(args, "--") {
			continue
		}
		if index := 1 + len(c.positionals); index < len(args) {
			return slices.Insert(slices.Clone(args), index, "--")
		}
	}
	return args
}

// usedCommand returns the deepest command that the parsed arguments name, or nil.
func usedCommand(commands []*command) *command {
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		if child := usedCommand(c.children); child != nil {
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
		quarantineCommand(),
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
