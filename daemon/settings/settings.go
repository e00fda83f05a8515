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
	// Secret settings are not shown in logs.
	Secret bool

	parse func(text string) error
	bind  func(cmd *flaggy.Subcommand)
}

// Set is the settings of one command.
type Set struct {
	settings []Setting
}

// All returns the settings in the order of definition.
func (s *Set) All() []Setting { return append([]Setting(nil), s.settings...) }

func (s *Set) add(flag, fallback, usage string, parse func(string) error, bind func(*flaggy.Subcommand)) {
	s.settings = append(s.settings, Setting{
		Flag:    flag,
		Env:     EnvName(flag),
		Default: fallback,
		Usage:   usage,
		parse:   parse,
		bind:    bind,
	})
}

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// String defines a text setting.
func (s *Set) String(target *string, flag, fallback, usage string) {
	*target = fallback
	s.add(flag, fallback, usage,
		func(text string) error { *target = text; return nil },
		func(cmd *flaggy.Subcommand) { cmd.String(target, "", flag, usage) })
}

// Secret defines a text setting that logs do not show.
func (s *Set) Secret(target *string, flag, usage string) {
	s.String(target, flag, "", usage)
	s.settings[len(s.settings)-1].Secret = true
}

// Strings defines a setting that takes several values, comma separated in the
// environment and repeated on the command line.
func (s *Set) Strings(target *[]string, flag, usage string) {
	s.add(flag, "", usage,
		func(text string) error { *target = strings.Split(text, ","); return nil },
		func(cmd *flaggy.Subcommand) { cmd.StringSlice(target, "", flag, usage) })
}

// Int defines a whole-number setting.
func (s *Set) Int(target *int, flag string, fallback int, usage string) {
	*target = fallback
	s.add(flag, strconv.Itoa(fallback), usage,
		func(text string) (err error) { *target, err = strconv.Atoi(text); return err },
		func(cmd *flaggy.Subcommand) { cmd.Int(target, "", flag, usage) })
}

// Float defines a number setting.
func (s *Set) Float(target *float64, flag string, fallback float64, usage string) {
	*target = fallback
	s.add(flag, strconv.FormatFloat(fallback, 'g', -1, 64), usage,
		func(text string) (err error) { *target, err = strconv.ParseFloat(text, 64); return err },
		func(cmd *flaggy.Subcommand) { cmd.Float64(target, "", flag, usage) })
}

// Bool defines a switch.
func (s *Set) Bool(target *bool, flag, usage string) {
	s.add(flag, "false", usage,
		func(text string) (err error) { *target, err = strconv.ParseBool(text); return err },
		func(cmd *flaggy.Subcommand) { cmd.Bool(target, "", flag, usage) })
}

// Duration defines a duration setting such as "250ms".
func (s *Set) Duration(target *time.Duration, flag string, fallback time.Duration, usage string) {
	*target = fallback
	s.add(flag, fallback.String(), usage,
		func(text string) (err error) { *target, err = time.ParseDuration(text); return err },
		func(cmd *flaggy.Subcommand) { cmd.Duration(target, "", flag, usage) })
}

// Bind reads the environment and adds the flags to cmd. The error names the
// variable and its value.
func (s *Set) Bind(cmd *flaggy.Subcommand) error {
	for _, setting := range s.settings {
		if text, ok := os.LookupEnv(setting.Env); ok {
			if err := setting.parse(text); err != nil {
				return fmt.Errorf("%s=%q: %w", setting.Env, text, err)
			}
		}
		setting.bind(cmd)
	}
	return nil
}
