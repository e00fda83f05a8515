package direct

// RecallReason tells why a request must not begin at its server.
type RecallReason int

const (
	// RecallQuarantined means that the request may crash its server.
	RecallQuarantined RecallReason = iota + 1
	// RecallOutdated means that the server's weights must not serve it any more.
	RecallOutdated
)

// Recall takes a request back from a server that has not begun its answer, and reports
// whether it did.
type Recall func(RecallReason) bool

// mayAbort reports whether the request can continue elsewhere if this attempt is
// aborted: at another server, or at the one that it would leave in a handover. An attempt
// whose server's weights may become outdated may be aborted in any case.
func (s *replyStream) mayAbort() bool {
	e := s.exchange
	if e.maySendAgain() || e.request.Model != "" {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.isReplaceable()
}

// isReplaceable reports whether another open attempt can serve the request. A stream that
// has begun stays at its server during a handover, since the target may not continue it.
// The caller holds the mutex of the exchange.
func (s *replyStream) isReplaceable() bool {
	e := s.exchange
	return e.openAttempts > 1 && (s.isHandover || !e.hasEvent)
}

// abort implements Recall by closing the connection. The last attempt stays open if the
// server may still begin the request.
func (s *replyStream) abort(reason RecallReason) bool {
	e := s.exchange
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.isClosed || s.isAborted || s.hasData {
		return false
	}
	if isLast := !e.hasAttemptsLeft() && !s.isReplaceable(); isLast && reason != RecallOutdated {
		return false
	}
	s.isAborted = true
	e.openAttempts--
	s.conn.Close()
	return true
}

func (s *replyStream) wasAborted() bool {
	s.exchange.mu.Lock()
	defer s.exchange.mu.Unlock()
	return s.isAborted
}

// markData records that a part of the body was read. It reports false if the attempt has
// been aborted, so that nothing of the answer reaches the caller.
func (s *replyStream) markData() bool {
	s.exchange.mu.Lock()
	defer s.exchange.mu.Unlock()
	s.hasData = !s.isAborted
	return s.hasData
}
