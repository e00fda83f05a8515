package direct

import (
	"errors"
	"io"
	"syscall"
)

// reportBegun reports once that a success began: a stream with its first data, another
// answer when it is complete, since the server may end in the middle of writing it.
func (s *replyStream) reportBegun() {
	if !s.begun {
		s.begun = true
		s.exchange.observer.AnswerBegan(s.lifetime)
	}
}

// reportOtherAnswer reports a complete answer that did not begin with data and a success
// status. One without the signature may come from something in front of the server.
func (s *replyStream) reportOtherAnswer() {
	if !s.begun && s.response.Header.Get(s.exchange.headerNames.Signature) != "" {
		s.exchange.observer.AnsweredOtherwise(s.lifetime)
	}
}

// isEndedByServer reports whether err shows that the server closed or reset the
// connection. A connection that this process closes gives another error.
func isEndedByServer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}
