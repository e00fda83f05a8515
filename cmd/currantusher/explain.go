package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"currantusher.dev/report/trace"
)

// standardInput is the file name that means standard input.
const standardInput = "-"

func explainCommand() *command {
	var ids string
	var files []string
	c := &command{name: "explain", usage: "Prints the timeline of requests from the log files of several processes: explain ID[,ID...] FILE..."}
	c.positionals = []positional{{&ids, "ids", "comma-separated request IDs", true}}
	c.trailing = &files
	c.run = func(context.Context) error {
		if len(files) == 0 {
			files = []string{standardInput}
		}
		return explainRequests(strings.Split(ids, ","), files)
	}
	return c
}

func explainRequests(ids, files []string) error {
	var log trace.Log
	for _, name := range files {
		if err := readLog(&log, name); err != nil {
			return err
		}
	}
	events := log.EventsOf(ids...)
	if len(events) == 0 {
		return fmt.Errorf("no log line has the request ID %s (%d lines could not be parsed)", strings.Join(ids, " or "), log.Skipped)
	}
	return trace.Write(os.Stdout, events)
}

func readLog(log *trace.Log, name string) error {
	if name == standardInput {
		return log.Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return usageError{err}
	}
	defer func() { _ = file.Close() }()
	if err := log.Read(file); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
