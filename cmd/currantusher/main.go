// Command currantusher contains all programs of the system: the daemons, the
// operators' command line, the stand-ins for external systems and the
// experiments.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"

	"currantusher.dev/core"
)

// Exit statuses.
const (
	exitOK                = 0
	exitFailed            = 1
	exitUsage             = 2
	exitGuaranteeViolated = 3
	exitConflict          = 4
)

// version is set by the linker for releases.
var version = "dev"

// helpTemplate shows one line for a usage error and a whole page for --help.
const helpTemplate = `{{if .Message}}{{.CommandName}}: {{.Message}} (see --help)
{{else}}{{.CommandName}}{{if .Description}} - {{.Description}}{{end}}
{{if .UsageString}}
  Usage:
    {{.UsageString}}{{end}}
{{if .Positionals}}
  Values:{{range .Positionals}}
    {{.Name}}  {{.Description}}{{end}}
{{end}}{{if .Subcommands}}
  Subcommands:{{range .Subcommands}}
    {{.LongName}}{{.Spacer}}  {{.Description}}{{end}}
{{end}}{{if .Flags}}
  Flags (each also as CURRANTUSHER_<NAME> in the environment):{{range .Flags}}
    {{.LongDisplay}}  {{.Description}}{{if .DefaultValue}} (default: {{.DefaultValue}}){{end}}{{end}}
{{end}}{{end}}`

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	parser := flaggy.NewParser("currantusher")
	parser.Description = "distributes model weights and routes requests during load bursts"
	parser.Version = version
	parser.ShowCompletion = false
	if err := parser.SetHelpTemplate(helpTemplate); err != nil {
		return exitStatus(err)
	}
	commands := rootCommands()
	attachCommands(&parser.Subcommand, commands)
	if err := parser.ParseArgs(insertArgSeparator(commands, args)); err != nil {
		fmt.Fprintln(os.Stderr, "currantusher:", err)
		return exitUsage
	}
	selected := usedCommand(commands)
	if selected == nil || selected.run == nil {
		parser.ShowHelp()
		return exitUsage
	}
	if selected.trailing != nil {
		*selected.trailing = parser.TrailingArguments
	}
	if err := selected.settings.Parse(); err != nil {
		return exitStatus(usageError{err})
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return exitStatus(selected.run(ctx))
}

// usageError reports an invalid setting, argument or input file. The process
// exits with exitUsage.
type usageError struct{ cause error }

func (e usageError) Error() string { return e.cause.Error() }

func (e usageError) Unwrap() error { return e.cause }

// errGuaranteeViolated reports that the system violated a safety guarantee during
// an experiment. The process exits with exitGuaranteeViolated.
var errGuaranteeViolated = errors.New("experiment violated a safety guarantee")

// exitStatus prints err, if it is not nil, to standard error and returns the exit
// status for it.
func exitStatus(err error) int {
	if err == nil {
		return exitOK
	}
	text := strings.ReplaceAll(err.Error(), core.ResultError.FullName()+": ", "")
	fmt.Fprintln(os.Stderr, "currantusher:", text)
	var usage usageError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, errGuaranteeViolated):
		return exitGuaranteeViolated
	case core.CodeOf(err) == core.CodeRevisionConflict:
		return exitConflict
	default:
		return exitFailed
	}
}
