package direct

import (
	"net/http"
	"time"

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
	s.readRateLimit()
	return notice
}

// readRateLimit reads the limit that the answer names and reports it. Only a signed success
// without a limit says that the server has none: failures may come from something in front
// of it, or from a server that is too busy to say more.
func (s *replyStream) readRateLimit() {
	names := s.exchange.headerNames
	perSecond, ok, err := notices.ParseRateLimit(s.response.Header, names.RateLimit)
	if err != nil {
		s.exchange.observer.InvalidHeader(s.server, names.RateLimit, err)
	}
	if !ok || s.response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	isSigned := s.response.Header.Get(names.Signature) != ""
	if perSecond == notices.Unlimited && !(isSigned && isSuccess(s.response)) {
		return
	}
	s.exchange.observer.LimitReceived(s.lifetime, notices.LimitObservation{PerSecond: perSecond, SentAt: s.sentAt, ReceivedAt: time.Now()})
}
