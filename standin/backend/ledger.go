package backend

import (
	"strings"

	"currantusher.dev/core"
)

// maxLedger bounds the requests whose runs a server remembers.
const maxLedger = 1 << 20

const keyedPrefix = "key/"

// IdempotencyRunKey names the runs of a team's Idempotency-Key.
func IdempotencyRunKey(team core.Team, key string) string {
	return keyedPrefix + string(team) + "/" + key
}

// PromptRunKey names the runs of a request without an Idempotency-Key by a text
// that the caller made unique.
func PromptRunKey(prompt string) string { return "prompt/" + prompt }

// ledger counts runs; it forgets the oldest requests first.
type ledger struct {
	counts   map[string]int
	order    []string
	next     int
	maxKeyed int
}

func newLedger() *ledger { return &ledger{counts: make(map[string]int)} }

func (l *ledger) record(key string) {
	if l.counts[key] == 0 {
		l.remember(key)
	}
	l.counts[key]++
	if strings.HasPrefix(key, keyedPrefix) {
		l.maxKeyed = max(l.maxKeyed, l.counts[key])
	}
}

func (l *ledger) remember(key string) {
	if len(l.order) < maxLedger {
		l.order = append(l.order, key)
		return
	}
	delete(l.counts, l.order[l.next])
	l.order[l.next] = key
	l.next = (l.next + 1) % maxLedger
}
