package direct

import (
	"fmt"
	"net/http"
	"strings"

	"currantusher.dev/requests/eventstream"
)

// checkContinuation rejects an answer that cannot be the rest of the stream whose head the
// caller already has, if there is one.
func (s *replyStream) checkContinuation() error {
	begun := s.begunHead
	if begun == nil {
		return nil
	}
	if s.response.StatusCode != begun.StatusCode {
		return fmt.Errorf("%s answered %d to a stream that has begun", s.server, s.response.StatusCode)
	}
	if got := mediaType(s.response); got != eventstream.MediaType && got != mediaType(begun) {
		return fmt.Errorf("%s answered with content type %q to a stream that has begun", s.server, got)
	}
	return nil
}

// acceptEvents adds the next bytes of an event stream and returns the events that they
// complete and that may be passed on.
func (s *replyStream) acceptEvents(part []byte) ([]byte, error) {
	events, err := s.splitter.Feed(part)
	if err == nil {
		err = eventstream.CheckNoStatusLine(events)
	}
	if err == nil && s.continuation != nil {
		events, err = s.continuation.Accept(events)
	}
	if err != nil {
		return nil, err
	}
	s.hasEvent = s.hasEvent || eventstream.HasEvent(events)
	return events, nil
}

// CanResume reports whether another server can continue the stream exactly after the events
// that were passed on.
func (e *Exchange) CanResume() bool {
	return !e.hasEvent || eventstream.IsNumber(e.lastEventID)
}

// mediaType returns the content type of an answer without parameters, or "".
func mediaType(response *http.Response) string {
	name, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}
