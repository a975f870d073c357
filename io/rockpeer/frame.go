package rockpeer

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockmemory"
	"sassafrasrock/io/rockschema"
	sassafrasrockv1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

const (
	// MaxFrameBytes is the maximum length of a frame's body, in bytes.
	MaxFrameBytes     = 1 << 20
	lengthPrefixBytes = 4
	// decodedFactor is the memory that the messages of a frame take beside it, as a multiple of its length: once as protobuf
	// and once as rows.
	decodedFactor = 4
)

var (
	// ErrFrameTooLarge is returned for a frame whose body is longer than MaxFrameBytes.
	ErrFrameTooLarge = eris.New("frame body longer than 1 MiB")
	// ErrFrameVersion is returned for a message of a protocol version that this host does not support.
	ErrFrameVersion = eris.New("unsupported protocol version in frame")
	// ErrFrameMalformed is returned for a frame that is incomplete, cannot be decoded or holds invalid values.
	ErrFrameMalformed = eris.New("malformed frame")
)

// EncodeFrame returns a message as a frame: the length of the body as a 4-byte big-endian integer,
// followed by the body, which is the message as protobuf.
func EncodeFrame(m rocktable.PeerMessage) ([]byte, error) {
	frame, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthPrefixBytes, lengthPrefixBytes+1024), rockschema.PeerToProto(m))
	if err != nil {
		return nil, eris.Wrap(err, "encoding a peer message")
	}
	size := len(frame) - lengthPrefixBytes
	if size > MaxFrameBytes {
		return nil, eris.Wrapf(ErrFrameTooLarge, "%d bytes", size)
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	return frame, nil
}

// ReadFrame reads one frame, which must end where the stream ends.
func ReadFrame(r io.Reader) (rocktable.PeerMessage, error) { return readFrame(r, nil) }

// readFrame is like ReadFrame, and reserves memory for the frame and its message. The error is rockmemory.ErrNoRoom if there
// is none.
func readFrame(r io.Reader, held *rockmemory.Holding) (rocktable.PeerMessage, error) {
	var head [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return rocktable.PeerMessage{}, eris.Wrapf(ErrFrameMalformed, "reading the length: %v", err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrameBytes {
		return rocktable.PeerMessage{}, eris.Wrapf(ErrFrameTooLarge, "%d bytes", size)
	}
	// Reading one byte more than the length detects data after the frame. The reader's buffer grows with the data received,
	// so a peer cannot make the host allocate 1 MiB by announcing a false length.
	reader := rockmemory.Reader{Source: io.LimitReader(r, int64(size)+1), Held: held}
	body, err := reader.ReadAll(-1)
	if errors.Is(err, rockmemory.ErrNoRoom) {
		return rocktable.PeerMessage{}, err
	}
	if err != nil {
		return rocktable.PeerMessage{}, eris.Wrapf(ErrFrameMalformed, "reading the body: %v", err)
	}
	if !held.Reserve(int64(len(body)) * decodedFactor) {
		return rocktable.PeerMessage{}, rockmemory.ErrNoRoom
	}
	if len(body) != int(size) {
		return rocktable.PeerMessage{}, eris.Wrapf(ErrFrameMalformed, "body has %d bytes, want %d", len(body), size)
	}
	return decodeBody(body)
}

func decodeBody(body []byte) (rocktable.PeerMessage, error) {
	var m sassafrasrockv1.PeerMessage
	if err := proto.Unmarshal(body, &m); err != nil {
		return rocktable.PeerMessage{}, eris.Wrapf(ErrFrameMalformed, "%v", err)
	}
	message, err := rockschema.PeerFromProto(&m)
	switch {
	case errors.Is(err, rockschema.ErrProtocol):
		return rocktable.PeerMessage{}, eris.Wrap(ErrFrameVersion, err.Error())
	case err != nil:
		return rocktable.PeerMessage{}, eris.Wrap(ErrFrameMalformed, err.Error())
	}
	return message, nil
}
