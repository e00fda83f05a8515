package wire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// MaxFrameBytes bounds the encoded size of one frame in bytes.
const MaxFrameBytes = 4 << 20

const frameHeader = 4

// Kind numbers the call that a stream carries. The first frame of a stream is
// its Kind; the frames after it are the call's messages.
type Kind uint16

// Calls between daemons. The comment names caller and callee.
const (
	// KindDispatch runs a request (entry to agent).
	KindDispatch Kind = 1
	// KindTombstone bars an attempt from starting (entry to agent).
	KindTombstone Kind = 2

	// KindConfigPull asks for a newer configuration (daemon to daemon).
	KindConfigPull Kind = 10
	// KindConfigPush offers a newer configuration (daemon to daemon).
	KindConfigPush Kind = 11
	// KindHeartbeat reports an agent's state (agent to entry).
	KindHeartbeat Kind = 20
	// KindMembershipSummary exchanges membership summaries (entry to entry).
	KindMembershipSummary Kind = 21

	// KindTrack registers a downloader and returns peers (agent to entry).
	KindTrack Kind = 30
	// KindChunk fetches one chunk (agent to agent).
	KindChunk Kind = 31
	// KindHave asks which chunks a peer offers (agent to agent).
	KindHave Kind = 32
	// KindActivate asks for a rollout slot (agent to entry).
	KindActivate Kind = 33
)

// Duplicate map keys are refused so that a frame has one reading.
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
		return fmt.Errorf("frame of %d bytes is over the limit of %d", len(body), MaxFrameBytes)
	}
	framed := make([]byte, frameHeader, frameHeader+len(body))
	binary.BigEndian.PutUint32(framed, uint32(len(body)))
	_, err = w.Write(append(framed, body...))
	return err
}

// ReadFrame reads one message into target. It returns io.EOF only at a clean
// boundary between frames.
func ReadFrame(r *bufio.Reader, target any) error {
	var header [frameHeader]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return fmt.Errorf("frame of %d bytes is over the limit of %d", size, MaxFrameBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return fmt.Errorf("frame cut: %w", io.ErrUnexpectedEOF)
	}
	if err := decodeMode.Unmarshal(body, target); err != nil {
		return fmt.Errorf("decode frame: %w", err)
	}
	return nil
}
