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

// ownProgram is the end of the path of this program in a deploy file.
const ownProgram = "/currantusher"

func checkCommand() *command {
	return &command{
		name: "check", usage: "Checks files before they are used.",
		children: []*command{checkDeployCommand()},
	}
}

func checkDeployCommand() *command {
	path := defaultDeployFile
	var node string
	c := &command{name: "deploy", usage: "Checks the deploy file, the settings in it and a settings file of the platform."}
	c.values = []value{{&path, "file", "deploy file (default: " + defaultDeployFile + ")", false}}
	c.settings.String(&node, "node-file", "", "settings file of the platform to check as well; empty checks none")
	c.run = func(context.Context) error { return checkDeploy(path, node) }
	return c
}

const defaultDeployFile = "deploy/system.toml"

func checkDeploy(path, node string) error {
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
	wrong := len(problems)
	if node != "" {
		if _, err := nodefile.Read(node); err != nil {
			fmt.Println(err)
			wrong++
		}
	}
	if wrong > 0 {
		return usageError{fmt.Errorf("%d problems", wrong)}
	}
	fmt.Printf("%s: %d roles, no problem\n", path, len(file.Roles))
	return nil
}

// checkProgram checks a role's command and the settings that its variables
// hold.
func checkProgram(file *deployfile.File, role deployfile.Role) []deployfile.Problem {
	field := "roles." + role.Name + "."
	if !strings.HasSuffix("/"+role.Program, ownProgram) {
		return nil
	}
	commands := rootCommands()
	if len(role.Arguments) == 0 {
		return []deployfile.Problem{file.Problem(field+"run", "names no command of %s", role.Program)}
	}
	at := slices.IndexFunc(commands, func(c *command) bool { return c.name == role.Arguments[0] })
	if at < 0 {
		return []deployfile.Problem{file.Problem(field+"run", "%q is no command of %s", role.Arguments[0], role.Program)}
	}
	var problems []deployfile.Problem
	for variable, text := range role.Env {
		if err := checkVariable(commands[at], variable, text); err != nil {
			problems = append(problems, file.Problem(field+"env", "%v", err))
		}
	}
	return problems
}

// checkVariable checks a variable of the product's own. What a placeholder gives
// is known only on the instance.
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
	return fmt.Errorf("%s is no setting of %q", variable, c.name)
}
