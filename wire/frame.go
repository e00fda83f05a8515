package wire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// MaxFrameBytes bounds the encoded size of a frame without its header.
const MaxFrameBytes = 4 << 20

const frameHeaderBytes = 4

// frameStartBytes is the memory for a frame of which nothing has arrived. Most frames are
// smaller.
const frameStartBytes = 4 << 10

// Kind identifies the type of call that a stream carries. The first frame of a
// stream is its Kind; the frames after it are the messages of the call.
type Kind uint16

// Calls between daemons. Parentheses name caller and callee.
const (
	// KindDispatch runs a request (entry to agent).
	KindDispatch Kind = 1
	// KindTombstone prevents an attempt from starting (entry to agent).
	KindTombstone Kind = 2

	// KindConfigPull requests a newer configuration (daemon to daemon).
	KindConfigPull Kind = 10
	// KindConfigPush announces a newer configuration (daemon to daemon).
	KindConfigPush Kind = 11
	// KindHeartbeat reports an agent's state (agent to entry).
	KindHeartbeat Kind = 20
	// KindMembershipSummary exchanges membership summaries (entry to entry).
	KindMembershipSummary Kind = 21

	// KindTrack registers a downloader and returns peers (agent to entry).
	KindTrack Kind = 30
	// KindChunk fetches a chunk (agent to agent).
	KindChunk Kind = 31
	// KindHave subscribes to the chunks that a peer offers (agent to agent).
	KindHave Kind = 32
	// KindActivate requests a rollout slot (agent to entry).
	KindActivate Kind = 33
)

// decodeMode rejects duplicate map keys, so that a frame has only one
// interpretation.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// WriteFrame writes one message as a length-prefixed CBOR item.
func WriteFrame(w io.Writer, message any) error {
	body, err := cbor.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if len(body) > MaxFrameBytes {
		return fmt.Errorf("frame of %d bytes is over the limit of %d bytes", len(body), MaxFrameBytes)
	}
	framed := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	binary.BigEndian.PutUint32(framed, uint32(len(body)))
	_, err = w.Write(append(framed, body...))
	return err
}

// ReadFrame reads one message into target. It returns io.EOF only if the stream
// ends between two frames.
func ReadFrame(r *bufio.Reader, target any) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return fmt.Errorf("frame of %d bytes is over the limit of %d bytes", size, MaxFrameBytes)
	}
	body, err := readBody(r, int(size))
	if err != nil {
		return fmt.Errorf("frame cut short: %w", io.ErrUnexpectedEOF)
	}
	if err := decodeMode.Unmarshal(body, target); err != nil {
		return fmt.Errorf("decode frame: %w", err)
	}
	return nil
}

// readBody reads size bytes. Its memory grows with the bytes that have arrived, since a peer
// may announce the largest frame and send nothing.
func readBody(r io.Reader, size int) ([]byte, error) {
	body := make([]byte, 0, min(size, frameStartBytes))
	for len(body) < size {
		next := min(size, max(2*len(body), frameStartBytes))
		body = slices.Grow(body, next-len(body))
		n, err := io.ReadFull(r, body[len(body):next])
		body = body[:len(body)+n]
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}
