// Package settings defines a process's settings as flags and environment
// variables. A flag overrides its variable, and a variable overrides the default.
package settings

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

// EnvPrefix is the prefix of the name of every environment variable.
const EnvPrefix = "CURRANTUSHER_"

// Setting describes one setting. The exported fields are used for the help text and
// the documentation.
type Setting struct {
	// Flag is the name of the long flag without dashes.
	Flag string
	// Env is the name of the environment variable.
	Env string
	// Default is the text of the default value.
	Default string
	// Usage describes the setting and its unit in one sentence.
	Usage string

	rawValue   string
	flagValues []string
	parse      func(text string) error
	bind       func(s *Setting, cmd *flaggy.Subcommand)
}

// ParseText parses text and assigns it to the setting's target. The error names
// the environment variable and text.
func (s *Setting) ParseText(text string) error {
	if err := s.parse(text); err != nil {
		return fmt.Errorf("%s %q: %w", s.Env, text, err)
	}
	return nil
}

// Set is the set of settings of one command.
type Set struct {
	settings []*Setting
}

// All returns the settings in the order of their definition.
func (s *Set) All() []*Setting { return append([]*Setting(nil), s.settings...) }

// EnvName returns the name of the environment variable of a flag.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func (s *Set) add(flag, defaultValue, usage string, parse func(string) error) *Setting {
	setting := &Setting{
		Flag:     flag,
		Env:      EnvName(flag),
		Default:  defaultValue,
		Usage:    usage,
		rawValue: defaultValue,
		parse:    parse,
		bind: func(s *Setting, cmd *flaggy.Subcommand) {
			cmd.String(&s.rawValue, "", s.Flag, s.Usage)
		},
	}
	s.settings = append(s.settings, setting)
	return setting
}

// String defines a string setting.
func (s *Set) String(target *string, flag, defaultValue, usage string) {
	s.add(flag, defaultValue, usage, func(text string) error {
		*target = text
		return nil
	})
}

// Int defines an integer setting.
func (s *Set) Int(target *int, flag string, defaultValue int, usage string) {
	s.add(flag, strconv.Itoa(defaultValue), usage, func(text string) (err error) {
		*target, err = strconv.Atoi(text)
		return err
	})
}

// Float defines a floating-point setting.
func (s *Set) Float(target *float64, flag string, defaultValue float64, usage string) {
	s.add(flag, strconv.FormatFloat(defaultValue, 'g', -1, 64), usage, func(text string) (err error) {
		*target, err = strconv.ParseFloat(text, 64)
		return err
	})
}

// Duration defines a duration setting such as "250ms".
func (s *Set) Duration(target *time.Duration, flag string, defaultValue time.Duration, usage string) {
	s.add(flag, defaultValue.String(), usage, func(text string) (err error) {
		*target, err = time.ParseDuration(text)
		return err
	})
}

// Bool defines a boolean setting, false by default.
func (s *Set) Bool(target *bool, flag, usage string) {
	setting := s.add(flag, "false", usage, func(text string) (err error) {
		setByFlag := *target
		*target, err = strconv.ParseBool(text)
		*target = *target || setByFlag
		return err
	})
	setting.bind = func(s *Setting, cmd *flaggy.Subcommand) {
		cmd.Bool(target, "", s.Flag, s.Usage)
	}
}

// Strings defines a setting with several values. The flag is repeated; the
// environment variable is a comma-separated list.
func (s *Set) Strings(target *[]string, flag, usage string) {
	setting := s.add(flag, "", usage, nil)
	setting.parse = func(text string) error {
		*target = setting.flagValues
		if len(setting.flagValues) == 0 && text != "" {
			*target = strings.Split(text, ",")
		}
		return nil
	}
	setting.bind = func(s *Setting, cmd *flaggy.Subcommand) {
		cmd.StringSlice(&s.flagValues, "", s.Flag, s.Usage)
	}
}

// Bind reads the environment variables and adds the flags to cmd.
func (s *Set) Bind(cmd *flaggy.Subcommand) {
	for _, setting := range s.settings {
		if text, ok := os.LookupEnv(setting.Env); ok {
			setting.rawValue = text
		}
		setting.bind(setting, cmd)
	}
}

// Parse assigns the values to their targets. Call it after the command line was
// parsed. The error names the setting and its value.
func (s *Set) Parse() error {
	for _, setting := range s.settings {
		if err := setting.parse(setting.rawValue); err != nil {
			return fmt.Errorf("--%s (%s) %q: invalid value: %s", setting.Flag, setting.Env, setting.rawValue, setting.Usage)
		}
	}
	return nil
}
