package direct

// mayAbort reports whether the request can continue elsewhere if this attempt is
// aborted: at another server, or at the one that it would leave in a handover. An attempt
// that may become outdated may be aborted in any case.
func (s *replyStream) mayAbort() bool {
	e := s.exchange
	if e.maySendAgain() || e.request.Repeatable && e.request.IsOutdated != nil {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.isReplaceable()
}

// isOutdated reports whether the server must not begin the request any more.
func (s *replyStream) isOutdated() bool {
	e := s.exchange
	return e.request.Repeatable && e.request.IsOutdated != nil && e.request.IsOutdated(s.server)
}

// isReplaceable reports whether another open attempt can serve the request. A stream that
// has begun stays at its server during a handover, since the target may not continue it.
// The caller holds the mutex of the exchange.
func (s *replyStream) isReplaceable() bool {
	e := s.exchange
	return e.openAttempts > 1 && (s.isHandover || !e.hasEvent)
}

// abort closes the connection unless the answer has begun. The last attempt stays open if
// the caller has received an event, or if the server may still begin the request.
func (s *replyStream) abort() {
	e, outdated := s.exchange, s.isOutdated()
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.isClosed || s.isAborted || s.hasData {
		return
	}
	if !e.hasAttemptsLeft() && !s.isReplaceable() && (!outdated || e.hasEvent) {
		return
	}
	s.isAborted = true
	e.openAttempts--
	s.conn.Close()
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
