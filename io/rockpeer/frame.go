package rockpeer

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockschema"
	sassafrasrockv1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

const (
	// MaxFrame is the longest body of a frame, in bytes.
	MaxFrame    = 1 << 20
	lengthBytes = 4
)

var (
	// ErrFrameTooLarge says that a frame is longer than MaxFrame.
	ErrFrameTooLarge = eris.New("the frame is longer than 1 MiB")
	// ErrFrameVersion says that a frame has an unknown protocol version.
	ErrFrameVersion = eris.New("the frame has an unknown protocol version")
	// ErrFrameBroken says that a frame does not decode.
	ErrFrameBroken = eris.New("the frame does not decode")
)

// EncodeFrame returns the frame of a message: the length as 4 bytes, big-endian, and the message.
func EncodeFrame(m rocktable.PeerMessage) ([]byte, error) {
	frame, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthBytes, lengthBytes+1024), rockschema.PeerToProto(m))
	if err != nil {
		return nil, eris.Wrap(err, "encoding a peer message")
	}
	size := len(frame) - lengthBytes
	if size > MaxFrame {
		return nil, eris.Wrapf(ErrFrameTooLarge, "%d bytes", size)
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	return frame, nil
}

// ReadFrame reads one frame up to the end of the stream.
func ReadFrame(r io.Reader) (rocktable.PeerMessage, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return rocktable.PeerMessage{}, eris.Wrapf(ErrFrameBroken, "length: %v", err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrame {
		return rocktable.PeerMessage{}, eris.Wrapf(ErrFrameTooLarge, "%d bytes", size)
	}
	// One byte more than the length shows whether the stream goes on after the frame. The buffer grows
	// with what arrives, so that a false length takes no memory.
	body, err := io.ReadAll(io.LimitReader(r, int64(size)+1))
	if err != nil {
		return rocktable.PeerMessage{}, eris.Wrapf(ErrFrameBroken, "body: %v", err)
	}
	if len(body) != int(size) {
		return rocktable.PeerMessage{}, eris.Wrapf(ErrFrameBroken, "%d bytes, want %d", len(body), size)
	}
	return decodeBody(body)
}

func decodeBody(body []byte) (rocktable.PeerMessage, error) {
	var m sassafrasrockv1.PeerMessage
	if err := proto.Unmarshal(body, &m); err != nil {
		return rocktable.PeerMessage{}, eris.Wrapf(ErrFrameBroken, "%v", err)
	}
	message, err := rockschema.PeerFromProto(&m)
	switch {
	case errors.Is(err, rockschema.ErrProtocol):
		return rocktable.PeerMessage{}, eris.Wrap(ErrFrameVersion, err.Error())
	case err != nil:
		return rocktable.PeerMessage{}, eris.Wrap(ErrFrameBroken, err.Error())
	}
	return message, nil
}
