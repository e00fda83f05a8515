package cost

import (
	"strconv"
	"strings"
)

// ParsePromptTokens returns the number of prompt tokens in the value of the header with
// the token counts, "1460,80". It returns 0 if the value is invalid.
func ParsePromptTokens(text string) float64 {
	prompt, _, _ := strings.Cut(text, ",")
	return ParseTokens(strings.TrimSpace(prompt))
}

// ParseTokens returns a positive number of tokens, limited to what engines hold, or 0 if
// the text is not one.
func ParseTokens(text string) float64 {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return valid(number, maxTokens)
}
