package upstream

import (
	"errors"
	"net/http"
	"regexp"
	"strings"
)

// ErrSecondHead means that another answer begins within a line of the head.
var ErrSecondHead = errors.New("the head holds the status line of another answer")

const protocolPrefix = "HTTP/1."

// statusLine matches a status line that follows the start of another line.
var statusLine = regexp.MustCompile(`HTTP/1\.\d \d{3}( |$)`)

// hasStatusLine reports whether a line of the head holds the status line of another answer.
func hasStatusLine(response *http.Response) bool {
	if holdsStatusLine(response.Status) {
		return true
	}
	for _, values := range response.Header {
		for _, value := range values {
			if holdsStatusLine(value) {
				return true
			}
		}
	}
	return false
}

func holdsStatusLine(text string) bool {
	return strings.Contains(text, protocolPrefix) && statusLine.MatchString(text)
}
