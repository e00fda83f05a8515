package direct

import (
	"io"
	"net/http"

	"currantusher.dev/requests/upstream"
)

// maxExtraAnswers bounds the answers to earlier requests that are skipped.
const maxExtraAnswers = 2

// receiveAnswer reads the head of the answer. A server may write an answer to an earlier
// request of the connection once more, where this answer is due; it is skipped.
func (s *replyStream) receiveAnswer() (*http.Response, error) {
	for extra := 0; ; extra++ {
		response, err := s.conn.Receive(s.exchange.request.Method)
		if err != nil || extra == maxExtraAnswers || !s.isExtra(response) || !skipBody(response) {
			return response, err
		}
	}
}

// isExtra reports whether an answer belongs to an earlier request of the connection and
// ends before the end of the connection. Answers to HEAD have no body whatever their head
// says, so that the end of a copy is unclear beside them.
func (s *replyStream) isExtra(response *http.Response) bool {
	if s.exchange.request.Method == http.MethodHead {
		return false
	}
	id := response.Header.Get(s.exchange.headerNames.RequestID)
	if id == s.exchange.request.ID || !s.conn.HasCarried(id) {
		return false
	}
	return !response.Close && !upstream.EndsWithConnection(response)
}

// skipBody reads the rest of an answer. It returns false if that is too long or broken.
func skipBody(response *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxFailureBytes+1))
	return err == nil && n <= maxFailureBytes
}
