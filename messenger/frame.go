// Package messenger exchanges CBOR frames between the system's own processes. Each
// pair of processes shares one WebSocket, which multiplexes streams.
package messenger

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version is the protocol version. A peer with another version is refused.
const Version = 1

// Protocol limits.
const (
	// MaxFrameBytes is the maximum size of an encoded frame, in bytes.
	MaxFrameBytes = 1 << 20
	// MaxChunkBytes is the maximum number of body bytes in one frame.
	MaxChunkBytes = 32 << 10
	// WindowBytes is the maximum number of unread body bytes on one stream, in each
	// direction.
	WindowBytes = 256 << 10
	// MaxStreams is the maximum number of open streams on one connection.
	MaxStreams = 4096
)

// Kind is the type of a frame.
type Kind uint8

// Kinds of frames. The numbers are part of the protocol and must not change.
const (
	KindHello          Kind = 1
	KindWelcome        Kind = 2
	KindHeartbeat      Kind = 3
	KindHeartbeatReply Kind = 4
	KindDocs           Kind = 5
	KindPeers          Kind = 6

	KindCall     Kind = 10
	KindResponse Kind = 11
	KindRefusal  Kind = 12
	KindData     Kind = 13
	KindEnd      Kind = 14
	KindCredit   Kind = 15
	KindCancel   Kind = 16

	KindGrant            Kind = 20
	KindDecline          Kind = 21
	KindReport           Kind = 22
	KindReportAck        Kind = 23
	KindRevoke           Kind = 24
	KindInventoryRequest Kind = 25
	KindInventoryReply   Kind = 26

	KindClaim       Kind = 30
	KindClaimReply  Kind = 31
	KindClaimResult Kind = 32

	KindCommand        Kind = 40
	KindWorkerSnapshot Kind = 41
	KindSnapshotAck    Kind = 42
	KindStateQuery     Kind = 43
	KindStateReply     Kind = 44
	KindInDoubt        Kind = 45
)

// Protocol errors.
var (
	ErrFrame   = errors.New("bad frame")
	ErrClosed  = errors.New("connection closed")
	ErrVersion = errors.New("protocol version mismatch")
)

// Frame is one message. Only the fields that Kind calls for are set.
type Frame struct {
	Kind           Kind            `cbor:"1,keyasint"`
	ID             uint64          `cbor:"2,keyasint,omitempty"`
	Data           []byte          `cbor:"3,keyasint,omitempty"`
	Credit         uint32          `cbor:"4,keyasint,omitempty"`
	Hello          *Hello          `cbor:"5,keyasint,omitempty"`
	Welcome        *Welcome        `cbor:"6,keyasint,omitempty"`
	Heartbeat      *Heartbeat      `cbor:"7,keyasint,omitempty"`
	HeartbeatReply *HeartbeatReply `cbor:"8,keyasint,omitempty"`
	Docs           *Docs           `cbor:"9,keyasint,omitempty"`
	Peers          *Peers          `cbor:"10,keyasint,omitempty"`
	Call           *Call           `cbor:"11,keyasint,omitempty"`
	Response       *Response       `cbor:"12,keyasint,omitempty"`
	Refusal        *Refusal        `cbor:"13,keyasint,omitempty"`
	End            *End            `cbor:"14,keyasint,omitempty"`
	Grant          *Grant          `cbor:"15,keyasint,omitempty"`
	Report         *Report         `cbor:"16,keyasint,omitempty"`
	Claim          *Claim          `cbor:"17,keyasint,omitempty"`
	ClaimReply     *ClaimReply     `cbor:"18,keyasint,omitempty"`
	Inventory      *GrantInventory `cbor:"19,keyasint,omitempty"`
	Command        *Command        `cbor:"20,keyasint,omitempty"`
	WorkerSnapshot *WorkerSnapshot `cbor:"21,keyasint,omitempty"`
	SnapshotAck    *SnapshotAck    `cbor:"22,keyasint,omitempty"`
	StateQuery     *StateQuery     `cbor:"23,keyasint,omitempty"`
	StateReply     *StateReply     `cbor:"24,keyasint,omitempty"`
	InDoubt        *InDoubt        `cbor:"25,keyasint,omitempty"`
}

var (
	encMode = must(cbor.EncOptions{Time: cbor.TimeUnixMicro}.UserBufferEncMode())
	decMode = must(cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 16,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the CBOR encoding of a frame.
func Encode(f Frame) ([]byte, error) { return Append(nil, &f) }

// Append appends the CBOR encoding of a frame to dst.
func Append(dst []byte, f *Frame) ([]byte, error) {
	buf := bytes.NewBuffer(dst)
	if err := encMode.MarshalToBuffer(f, buf); err != nil {
		return dst, fmt.Errorf("encoding a frame of kind %d: %w", f.Kind, err)
	}
	if size := buf.Len() - len(dst); size > MaxFrameBytes {
		return dst, fmt.Errorf("frame of kind %d is %d bytes, over %d: %w", f.Kind, size, MaxFrameBytes, ErrFrame)
	}
	return buf.Bytes(), nil
}

// Decode decodes raw, which must hold exactly one frame.
func Decode(raw []byte) (Frame, error) {
	f, rest, err := DecodeFirst(raw)
	if err == nil && len(rest) > 0 {
		return f, fmt.Errorf("%w: %d bytes follow it", ErrFrame, len(rest))
	}
	return f, err
}

// DecodeFirst decodes the first frame of raw, checks that it has the payload of
// its kind, and returns the remaining bytes. Unknown fields are ignored, so that
// a newer peer may add fields.
func DecodeFirst(raw []byte) (Frame, []byte, error) {
	var f Frame
	rest, err := decMode.UnmarshalFirst(raw, &f)
	switch {
	case err != nil:
		return f, nil, fmt.Errorf("%w: %w", ErrFrame, err)
	case len(raw)-len(rest) > MaxFrameBytes:
		return f, nil, fmt.Errorf("frame is %d bytes, over %d: %w", len(raw)-len(rest), MaxFrameBytes, ErrFrame)
	case !f.hasPayload():
		return f, nil, fmt.Errorf("frame of kind %d lacks its body: %w", f.Kind, ErrFrame)
	}
	return f, rest, nil
}

// hasPayload reports whether the payload that the kind requires is present.
// Unknown kinds pass, since a newer peer may send them; receivers skip them.
func (f *Frame) hasPayload() bool {
	switch f.Kind {
	case 0:
		return false
	case KindHello:
		return f.Hello != nil
	case KindWelcome:
		return f.Welcome != nil
	case KindHeartbeat:
		return f.Heartbeat != nil
	case KindHeartbeatReply:
		return f.HeartbeatReply != nil
	case KindDocs:
		return f.Docs != nil
	case KindPeers:
		return f.Peers != nil
	case KindCall:
		return f.Call != nil && f.ID != 0
	case KindResponse:
		return f.Response != nil
	case KindRefusal:
		return f.Refusal != nil
	case KindEnd:
		return f.End != nil
	case KindData:
		return len(f.Data) <= MaxChunkBytes
	case KindGrant, KindDecline, KindRevoke:
		return f.Grant != nil
	case KindReport, KindReportAck:
		return f.Report != nil
	case KindInventoryRequest, KindInventoryReply:
		return f.Inventory != nil
	case KindClaim, KindClaimResult:
		return f.Claim != nil
	case KindClaimReply:
		return f.ClaimReply != nil
	case KindCommand:
		return f.Command != nil && (f.Command.Start == nil) != (f.Command.Stop == nil)
	case KindWorkerSnapshot:
		return f.WorkerSnapshot != nil
	case KindSnapshotAck:
		return f.SnapshotAck != nil
	case KindStateQuery:
		return f.StateQuery != nil && f.ID != 0
	case KindStateReply:
		return f.StateReply != nil && f.ID != 0
	case KindInDoubt:
		return f.InDoubt != nil
	}
	return true
}
