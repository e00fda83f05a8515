package fleet

// WeightsSize is the size of a version of the weights.
type WeightsSize struct {
	// Pieces is the number of pieces; 0 means that it is unknown.
	Pieces int
	// PieceBytes is the size of a piece in bytes; 0 means that it is unknown.
	PieceBytes int
}

// WeightsSize returns the size of a version of the engines' weights.
func (e *Engine) WeightsSize() WeightsSize {
	return WeightsSize{Pieces: e.Pieces, PieceBytes: e.PieceBytes}
}
