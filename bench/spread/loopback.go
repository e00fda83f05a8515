package main

import (
	"os"
	"strconv"
	"strings"
)

// loopbackSentBytes returns the number of bytes sent over the loopback interface,
// packet headers included. It returns 0 when the number cannot be read.
func loopbackSentBytes() uint64 {
	content, err := os.ReadFile("/proc/self/net/dev")
	if err != nil {
		return 0
	}
	const sentField = 8
	for line := range strings.Lines(string(content)) {
		name, counts, found := strings.Cut(line, ":")
		if !found || strings.TrimSpace(name) != "lo" {
			continue
		}
		fields := strings.Fields(counts)
		if len(fields) <= sentField {
			return 0
		}
		sent, err := strconv.ParseUint(fields[sentField], 10, 64)
		if err != nil {
			return 0
		}
		return sent
	}
	return 0
}
