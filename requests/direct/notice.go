package direct

import (
	"net/http"

	"currantusher.dev/requests/notices"
)

// readNotice reads what the answer announces about its server and reports it. An
// answer that names another server says nothing about this one.
func (s *replyStream) readNotice() notices.Notice {
	names := s.exchange.headerNames
	header := s.response.Header
	if sender := header.Get(names.ServerID); sender != "" && sender != string(s.server) {
		return notices.Notice{}
	}
	var notice notices.Notice
	var err error
	if notice.Leaving, err = notices.ParseLeaving(header, names.Leaving); err != nil {
		s.exchange.observer.InvalidHeader(s.server, names.Leaving, err)
	}
	if s.response.StatusCode == http.StatusServiceUnavailable {
		if notice.Pause, err = notices.ParseRetryAfter(header); err != nil {
			s.exchange.observer.InvalidHeader(s.server, notices.RetryAfterHeader, err)
		}
	}
	s.exchange.observer.NoticeReceived(s.lifetime, notice)
	return notice
}
