package engine

import (
	"encoding/binary"
	"encoding/json"
	"strconv"
	"strings"

	"currantusher.dev/core"
)

const (
	defaultMaxTokens = 16
	// tokenLimit bounds the max_tokens of a request.
	tokenLimit   = 1 << 16
	maxBodyBytes = 4 << 20
)

var vocabulary = strings.Fields(
	"origin label allergen recall crate lot field harvest valley rind stem leaf " +
		"gas main street valve crew permit notice relight meter trench")

// Request is the body of a generation request.
type Request struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func (r Request) tokenCount() int {
	if r.MaxTokens <= 0 {
		return defaultMaxTokens
	}
	return min(r.MaxTokens, tokenLimit)
}

// Answer is the body of an answer that is not streamed.
type Answer struct {
	RequestID string `json:"request_id"`
	Weights   string `json:"weights"`
	Text      string `json:"text"`
}

// Event is one event of a streamed answer.
type Event struct {
	RequestID string `json:"request_id"`
	Weights   string `json:"weights"`
	Index     int    `json:"index"`
	Text      string `json:"text"`
}

// StreamEnd is the data of the last event of a stream.
const StreamEnd = "[DONE]"

// ExpectedText returns the text that an engine with these weights generates for a
// request body. maxTokens above 0 overrides max_tokens of the body.
func ExpectedText(body []byte, weights core.Digest, maxTokens int) (string, error) {
	var request Request
	if err := json.Unmarshal(body, &request); err != nil {
		return "", err
	}
	if maxTokens > 0 {
		request.MaxTokens = maxTokens
	}
	return generate(request, weights), nil
}

func generate(request Request, weights core.Digest) string {
	var text strings.Builder
	seed := outputSeed(request, weights)
	for i := range request.tokenCount() {
		text.WriteString(tokenAt(seed, i))
	}
	return text.String()
}

// outputSeed returns the seed of the text for a prompt and a version of weights.
func outputSeed(request Request, weights core.Digest) core.Digest {
	return core.DigestOf(append(weights[:], request.Prompt...))
}

// tokenAt returns the token at a position, which depends only on the seed and the
// position. Each token contains its position, so that a missing or repeated token
// changes the text.
func tokenAt(seed core.Digest, index int) string {
	word := binary.BigEndian.Uint64(seed[(index%4)*8:]) + uint64(index)*0x9e3779b97f4a7c15
	word ^= word >> 29
	return vocabulary[word%uint64(len(vocabulary))] + strconv.Itoa(index) + " "
}

func encodeEvent(requestID string, weights core.Digest, seed core.Digest, index int) []byte {
	encoded, err := json.Marshal(Event{
		RequestID: requestID,
		Weights:   weights.String(),
		Index:     index,
		Text:      tokenAt(seed, index),
	})
	if err != nil {
		panic(err) // Event has only strings and numbers.
	}
	return []byte("data: " + string(encoded) + "\n\n")
}
