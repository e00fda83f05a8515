package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"currantusher.dev/daemon/settings"
	"currantusher.dev/platform/deployfile"
	"currantusher.dev/platform/nodefile"
)

// programSuffix ends the path of this program in a deploy file.
const programSuffix = "/currantusher"

func checkCommand() *command {
	return &command{
		name: "check", usage: "Checks files before they are used.",
		children: []*command{checkDeployCommand()},
	}
}

func checkDeployCommand() *command {
	path := defaultDeployFile
	var nodeFile string
	c := &command{name: "deploy", usage: "Checks the deploy file with its settings, and optionally a settings file of the platform."}
	c.positionals = []positional{{&path, "file", "deploy file (default: " + defaultDeployFile + ")", false}}
	c.settings.String(&nodeFile, "node-file", "", "settings file of the platform to check too; empty for none")
	c.run = func(context.Context) error { return checkDeploy(path, nodeFile) }
	return c
}

const defaultDeployFile = "deploy/system.toml"

// checkDeploy prints all problems of both files to standard output.
func checkDeploy(path, nodeFile string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return usageError{err}
	}
	file, problems := deployfile.Parse(string(text))
	for _, role := range file.Roles {
		problems = append(problems, checkProgram(&file, role)...)
	}
	for _, p := range problems {
		fmt.Printf("%s: %s\n", path, p)
	}
	problemCount := len(problems)
	if nodeFile != "" {
		if _, err := nodefile.Read(nodeFile); err != nil {
			fmt.Println(err)
			problemCount++
		}
	}
	if problemCount > 0 {
		return usageError{fmt.Errorf("%d problems", problemCount)}
	}
	fmt.Printf("%s: %d roles, no problem\n", path, len(file.Roles))
	return nil
}

// checkProgram checks the command of a role that runs this program, and the
// settings in its environment variables.
func checkProgram(file *deployfile.File, role deployfile.Role) []deployfile.Problem {
	field := "roles." + role.Name + "."
	if !strings.HasSuffix("/"+role.Program, programSuffix) {
		return nil
	}
	commands := rootCommands()
	if len(role.Arguments) == 0 {
		return []deployfile.Problem{file.Problem(field+"run", "no command of %s given", role.Program)}
	}
	index := slices.IndexFunc(commands, func(c *command) bool { return c.name == role.Arguments[0] })
	if index < 0 {
		return []deployfile.Problem{file.Problem(field+"run", "%q is not a command of %s", role.Arguments[0], role.Program)}
	}
	var problems []deployfile.Problem
	for variable, text := range role.Env {
		if err := checkVariable(commands[index], variable, text); err != nil {
			problems = append(problems, file.Problem(field+"env", "%v", err))
		}
	}
	return problems
}

// checkVariable checks an environment variable that sets a flag of the command.
// Values with placeholders pass, because the platform fills them in on the
// instance.
func checkVariable(c *command, variable, text string) error {
	if !strings.HasPrefix(variable, settings.EnvPrefix) || variable == nodefile.PathEnvVar {
		return nil
	}
	for _, s := range c.settings.All() {
		if s.Env != variable {
			continue
		}
		if strings.Contains(text, "{{") {
			return nil
		}
		return s.ParseText(text)
	}
	return fmt.Errorf("%s is not a setting of command %q", variable, c.name)
}
