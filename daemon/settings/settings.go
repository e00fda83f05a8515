// Package settings binds a process's settings to flags and to environment
// variables. A flag wins over its variable, and a variable over the default.
package settings

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

// EnvPrefix starts the name of every environment variable.
const EnvPrefix = "CURRANTUSHER_"

// Setting describes one setting for help and docs.
type Setting struct {
	// Flag is the long flag without dashes.
	Flag string
	// Env is the environment variable.
	Env string
	// Default is the default as text.
	Default string
	// Usage is one sentence with the unit.
	Usage string

	text  string
	list  []string
	parse func(text string) error
	bind  func(s *Setting, cmd *flaggy.Subcommand)
}

// ParseText reports whether a text is a value of the setting. The setting takes it.
func (s *Setting) ParseText(text string) error {
	if err := s.parse(text); err != nil {
		return fmt.Errorf("%s %q: %w", s.Env, text, err)
	}
	return nil
}

// Set is the settings of one command.
type Set struct {
	settings []*Setting
}

// All returns the settings in the order of definition.
func (s *Set) All() []*Setting { return append([]*Setting(nil), s.settings...) }

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func (s *Set) add(flag, fallback, usage string, parse func(string) error) *Setting {
	setting := &Setting{
		Flag:    flag,
		Env:     EnvName(flag),
		Default: fallback,
		Usage:   usage,
		text:    fallback,
		parse:   parse,
		bind: func(s *Setting, cmd *flaggy.Subcommand) {
			cmd.String(&s.text, "", s.Flag, s.Usage)
		},
	}
	s.settings = append(s.settings, setting)
	return setting
}

// String defines a text setting.
func (s *Set) String(target *string, flag, fallback, usage string) {
	s.add(flag, fallback, usage, func(text string) error {
		*target = text
		return nil
	})
}

// Int defines a whole-number setting.
func (s *Set) Int(target *int, flag string, fallback int, usage string) {
	s.add(flag, strconv.Itoa(fallback), usage, func(text string) (err error) {
		*target, err = strconv.Atoi(text)
		return err
	})
}

// Float defines a number setting.
func (s *Set) Float(target *float64, flag string, fallback float64, usage string) {
	s.add(flag, strconv.FormatFloat(fallback, 'g', -1, 64), usage, func(text string) (err error) {
		*target, err = strconv.ParseFloat(text, 64)
		return err
	})
}

// Duration defines a duration setting such as "250ms".
func (s *Set) Duration(target *time.Duration, flag string, fallback time.Duration, usage string) {
	s.add(flag, fallback.String(), usage, func(text string) (err error) {
		*target, err = time.ParseDuration(text)
		return err
	})
}

// Bool defines a switch.
func (s *Set) Bool(target *bool, flag, usage string) {
	setting := s.add(flag, "false", usage, func(text string) (err error) {
		switched := *target
		*target, err = strconv.ParseBool(text)
		*target = *target || switched
		return err
	})
	setting.bind = func(s *Setting, cmd *flaggy.Subcommand) {
		cmd.Bool(target, "", s.Flag, s.Usage)
	}
}

// Strings defines a setting that takes several values: repeated on the command
// line, comma separated in the environment.
func (s *Set) Strings(target *[]string, flag, usage string) {
	setting := s.add(flag, "", usage, nil)
	setting.parse = func(text string) error {
		*target = setting.list
		if len(setting.list) == 0 && text != "" {
			*target = strings.Split(text, ",")
		}
		return nil
	}
	setting.bind = func(s *Setting, cmd *flaggy.Subcommand) {
		cmd.StringSlice(&s.list, "", s.Flag, s.Usage)
	}
}

// Bind reads the environment and adds the flags to cmd.
func (s *Set) Bind(cmd *flaggy.Subcommand) {
	for _, setting := range s.settings {
		if text, ok := os.LookupEnv(setting.Env); ok {
			setting.text = text
		}
		setting.bind(setting, cmd)
	}
}

// Parse sets the targets after the command line was read. The error names the
// setting and its value.
func (s *Set) Parse() error {
	for _, setting := range s.settings {
		if err := setting.parse(setting.text); err != nil {
			return fmt.Errorf("--%s (%s) %q: not valid: %s", setting.Flag, setting.Env, setting.text, setting.Usage)
		}
	}
	return nil
}
