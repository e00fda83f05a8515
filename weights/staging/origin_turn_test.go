package staging

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// arrivals returns when pieces arrive that are requested at the given times from an
// origin whose link is shared equally by all transfers in progress.
func arrivals(requestedAt []time.Duration, pieceTime time.Duration) []time.Duration {
	remaining := make([]float64, len(requestedAt))
	for i := range remaining {
		remaining[i] = pieceTime.Seconds()
	}
	arrivedAt := make([]time.Duration, len(requestedAt))
	const step = time.Millisecond
	for now := time.Duration(0); slices.Contains(arrivedAt, 0); now += step {
		var active []int
		for i := range remaining {
			if requestedAt[i] <= now && remaining[i] > 0 {
				active = append(active, i)
			}
		}
		for _, i := range active {
			remaining[i] -= step.Seconds() / float64(len(active))
			if remaining[i] <= 0 {
				arrivedAt[i] = now + step
			}
		}
	}
	return arrivedAt
}

// The origin of the large fleet sends 64 pieces in 1.7 s. Pieces must arrive one after
// the other, so that agents pass them on meanwhile, and each within its timeout.
func TestPiecesArriveFromTheOriginOneAfterTheOther(t *testing.T) {
	const pieces = 64
	target := TargetVersion{Pieces: pieces, OriginPieceTime: 26 * time.Millisecond}
	turns := make([]time.Duration, pieces)
	for piece := range turns {
		turns[piece] = target.originTurn(piece, 0, false)
	}
	arrivedAt := arrivals(turns, target.OriginPieceTime)
	whole := time.Duration(pieces) * target.OriginPieceTime
	require.Less(t, arrivedAt[pieces/4], whole/2)
	require.Less(t, arrivedAt[pieces/2], whole*3/4)
	require.Less(t, slices.Max(arrivedAt), whole*11/10, "the link is used throughout")
	for piece := range turns {
		require.Less(t, arrivedAt[piece]-turns[piece], sourceTimeout/2)
	}

	atOnce := arrivals(make([]time.Duration, pieces), target.OriginPieceTime)
	require.Greater(t, slices.Min(atOnce), whole*9/10, "without turns all pieces arrive at the end")
}

// After an outage the pieces must not be requested together either.
func TestTurnsRecur(t *testing.T) {
	target := TargetVersion{Pieces: 64, OriginPieceTime: 26 * time.Millisecond}
	period := target.originTurn(63, 0, false) * 64 / 63
	for piece := range target.Pieces {
		first := target.originTurn(piece, 0, false)
		again := 5*time.Second + target.originTurn(piece, 5*time.Second, true)
		periods := float64(again-first) / float64(period)
		require.InDelta(t, math.Round(periods), periods, 0.001)
		require.Less(t, target.originTurn(piece, 5*time.Second, true), period)
		require.Zero(t, target.originTurn(piece, 5*time.Second, false), "the first request is late already")
	}
}

func TestOriginOfUnknownBandwidthIsAskedAtOnce(t *testing.T) {
	require.Zero(t, TargetVersion{Pieces: 64}.originTurn(63, 0, false))
	require.Zero(t, TargetVersion{Pieces: 64}.originTurn(63, time.Minute, true))
}
