package fleet

import (
	"hash/fnv"

	"currantusher.dev/core"
)

// Work is the outstanding work of requests at one engine.
type Work struct {
	// Running is the number of requests.
	Running int
	// UnreadTokens are the prompt tokens of requests without a first event,
	// AnswerTokens the tokens of answers that are still to be generated, and
	// HeldTokens the context tokens in the engine's memory.
	UnreadTokens, AnswerTokens, HeldTokens float64
}

// Add returns the sum of two amounts of work.
func (w Work) Add(other Work) Work {
	return Work{
		Running: w.Running + other.Running, UnreadTokens: w.UnreadTokens + other.UnreadTokens,
		AnswerTokens: w.AnswerTokens + other.AnswerTokens, HeldTokens: w.HeldTokens + other.HeldTokens,
	}
}

// workKeyBits is the size of the keys of servers in reports of work. Two of 600 servers
// have the same key with a probability of about one in a hundred; then each of them is
// taken to have the work of both that other entries report.
const workKeyBits = 24

// WorkKey returns the key of a server in reports of work.
func WorkKey(server core.InstanceID) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(server))
	sum := hash.Sum32()
	return (sum ^ sum>>workKeyBits) & (1<<workKeyBits - 1)
}
