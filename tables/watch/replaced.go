package watch

import "time"

// newestStarts returns, by address, when the newest process started that is listed there.
// After a loss of power the rows of the processes that ended are listed for some seconds
// beside those of their successors.
func (s *State) newestStarts() map[string]time.Time {
	newest := make(map[string]time.Time, len(s.servers))
	for id, state := range s.servers {
		if _, isHidden := s.invalidRows[id]; isHidden {
			continue
		}
		if startedAt := state.server.StartedAt; startedAt.After(newest[state.server.Addr]) {
			newest[state.server.Addr] = startedAt
		}
	}
	return newest
}

// isReplaced reports whether a later process is listed at the server's address.
func (s *Server) isReplaced(newestStarts map[string]time.Time) bool {
	return s.StartedAt.Before(newestStarts[s.Addr])
}
