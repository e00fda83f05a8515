package staging

// piecesOf returns the piece set of a version, or nil.
func (m *Manager) piecesOf(key VersionKey) *pieceSet {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pieceSets[key]
}

// addPieces adds the piece set of a version. It copies pieces that other
// versions have in common, and drops those that it replaces.
func (m *Manager) addPieces(p *pieceSet) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, other := range m.pieceSets {
		if key.Model == p.key.Model && key != p.key {
			p.copyFrom(other)
		}
	}
	m.dropReplacedPieces(p.key, true)
	m.pieceSets[p.key] = p
}
