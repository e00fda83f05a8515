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
	maxMaxTokens     = 1 << 16
	maxBodyBytes     = 4 << 20
)

var vocabulary = strings.Fields(
	"origin label allergen recall crate lot field harvest valley rind stem leaf " +
		"gas main street valve crew permit notice relight meter trench")

// Request is the body of a generation request.
type Request struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func (r Request) tokens() int {
	if r.MaxTokens <= 0 {
		return defaultMaxTokens
	}
	return min(r.MaxTokens, maxMaxTokens)
}

// Answer is the plain answer, and with Index one event of a stream.
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
// request body. maxTokens overrides the body's number when it is above 0.
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
	for i := range request.tokens() {
		text.WriteString(token(seed, i))
	}
	return text.String()
}

func outputSeed(request Request, weights core.Digest) core.Digest {
	return core.DigestOf(append(weights[:], request.Prompt...))
}

// token is a function of the seed and the position. Each token names its
// position, so that a missing or repeated one changes the text.
func token(seed core.Digest, index int) string {
	word := binary.BigEndian.Uint64(seed[(index%4)*8:]) + uint64(index)*0x9e3779b97f4a7c15
	word ^= word >> 29
	return vocabulary[word%uint64(len(vocabulary))] + strconv.Itoa(index) + " "
}

func event(requestID string, weights core.Digest, seed core.Digest, index int) []byte {
	encoded, err := json.Marshal(Event{
		RequestID: requestID,
		Weights:   weights.String(),
		Index:     index,
		Text:      token(seed, index),
	})
	if err != nil {
		panic(err) // Event has only strings and numbers.
	}
	return []byte("data: " + string(encoded) + "\n\n")
}
