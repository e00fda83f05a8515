package backend

import (
	"strings"

	"currantusher.dev/core"
)

// maxRunKeys bounds the number of keys whose runs are counted.
const maxRunKeys = 1 << 20

const idempotencyRunPrefix = "key/"

// IdempotencyRunKey returns the run key of a request with an Idempotency-Key.
func IdempotencyRunKey(team core.Team, key string) string {
	return idempotencyRunPrefix + string(team) + "/" + key
}

// PromptRunKey returns the run key of a request without an Idempotency-Key. The
// caller must make the prompt unique.
func PromptRunKey(prompt string) string { return "prompt/" + prompt }

// runCounter counts the runs of each run key. Beyond maxRunKeys it drops the oldest
// keys.
type runCounter struct {
	counts map[string]int
	// keys is a ring buffer of the keys in the order of their first runs; next is
	// the index of the oldest key once it is full.
	keys []string
	next int
	// maxKeyedRuns is the highest count of a key from IdempotencyRunKey.
	maxKeyedRuns int
}

func newRunCounter() *runCounter { return &runCounter{counts: make(map[string]int)} }

func (l *runCounter) record(key string) {
	if l.counts[key] == 0 {
		l.addKey(key)
	}
	l.counts[key]++
	if strings.HasPrefix(key, idempotencyRunPrefix) {
		l.maxKeyedRuns = max(l.maxKeyedRuns, l.counts[key])
	}
}

func (l *runCounter) addKey(key string) {
	if len(l.keys) < maxRunKeys {
		l.keys = append(l.keys, key)
		return
	}
	delete(l.counts, l.keys[l.next])
	l.keys[l.next] = key
	l.next = (l.next + 1) % maxRunKeys
}
