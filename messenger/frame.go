// Package messenger carries frames between the system's own processes: CBOR
// over one WebSocket a pair, with many streams on it.
package messenger

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version is the protocol's version; a peer of another version is turned away.
const Version = 1

// Bounds of the protocol, in bytes and counts.
const (
	// MaxFrame bounds one encoded frame.
	MaxFrame = 1 << 20
	// MaxChunk bounds the body bytes in one frame.
	MaxChunk = 32 << 10
	// Window bounds the body bytes that one stream may have unread.
	Window = 256 << 10
	// MaxStreams bounds the streams open on one connection.
	MaxStreams = 4096
)

// Kind tells what a frame carries.
type Kind uint8

// Kinds of frame. Numbers are part of the protocol and never change.
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

// Errors of the protocol.
var (
	ErrFrame   = errors.New("bad frame")
	ErrClosed  = errors.New("connection closed")
	ErrVersion = errors.New("peer speaks another protocol version")
)

// Frame is one message. Only the field that Kind names is set.
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
	encoding = must(cbor.EncOptions{Time: cbor.TimeUnixMicro}.UserBufferEncMode())
	decoding = must(cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 16,
	}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode writes a frame as CBOR.
func Encode(f Frame) ([]byte, error) { return Append(nil, &f) }

// Append writes a frame as CBOR behind others.
func Append(to []byte, f *Frame) ([]byte, error) {
	buf := bytes.NewBuffer(to)
	if err := encoding.MarshalToBuffer(f, buf); err != nil {
		return to, fmt.Errorf("encoding a frame of kind %d: %w", f.Kind, err)
	}
	if size := buf.Len() - len(to); size > MaxFrame {
		return to, fmt.Errorf("frame of kind %d is %d bytes, over %d: %w", f.Kind, size, MaxFrame, ErrFrame)
	}
	return buf.Bytes(), nil
}

// Decode reads the one frame that raw is.
func Decode(raw []byte) (Frame, error) {
	f, rest, err := DecodeFirst(raw)
	if err == nil && len(rest) > 0 {
		return f, fmt.Errorf("%w: %d bytes follow it", ErrFrame, len(rest))
	}
	return f, err
}

// DecodeFirst reads the first frame of raw, checks that it carries what its
// kind names, and returns what follows it. Unknown fields are ignored, so that
// a newer peer may add some.
func DecodeFirst(raw []byte) (Frame, []byte, error) {
	var f Frame
	rest, err := decoding.UnmarshalFirst(raw, &f)
	switch {
	case err != nil:
		return f, nil, fmt.Errorf("%w: %w", ErrFrame, err)
	case len(raw)-len(rest) > MaxFrame:
		return f, nil, fmt.Errorf("frame is %d bytes, over %d: %w", len(raw)-len(rest), MaxFrame, ErrFrame)
	case !f.whole():
		return f, nil, fmt.Errorf("frame of kind %d lacks its body: %w", f.Kind, ErrFrame)
	}
	return f, rest, nil
}

// whole says whether the field that the kind needs is there. Kinds of a newer
// version pass; their reader skips them.
func (f *Frame) whole() bool {
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
		return len(f.Data) <= MaxChunk
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
