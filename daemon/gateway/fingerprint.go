package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

// fingerprintBytes is the length of a fingerprint before its encoding.
const fingerprintBytes = 8

// requestTrait returns the trait that a request shares with its repetitions: those of the
// same caller with the same method, host, target and body.
func requestTrait(team core.Team, method, host, target string, body []byte) fleet.Trait {
	hash := sha256.New()
	var length [8]byte
	for _, field := range [...][]byte{[]byte(team), []byte(method), []byte(host), []byte(target), body} {
		// The lengths keep fields apart.
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(field)
	}
	var sum [sha256.Size]byte
	return fleet.Trait{ID: hex.EncodeToString(hash.Sum(sum[:0])[:fingerprintBytes])}
}
