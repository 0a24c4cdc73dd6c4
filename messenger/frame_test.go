package messenger

import (
	"bytes"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

func TestFrames(t *testing.T) {
	c := qt.New(t)
	for _, f := range []Frame{
		{Kind: KindHello, Hello: &Hello{Version: Version, ID: "a"}},
		{Kind: KindCall, ID: 7, Call: &Call{Method: "GET", Path: "/x", Length: -1}},
		{Kind: KindData, ID: 7, Data: []byte("body")},
		{Kind: KindCredit, ID: 7, Credit: 12},
	} {
		raw, err := Encode(f)
		c.Assert(err, qt.IsNil)
		got, err := Decode(raw)
		c.Assert(err, qt.IsNil)
		c.Assert(got.Kind, qt.Equals, f.Kind)
	}
	c.Run("an unknown field is ignored", func(c *qt.C) {
		raw, err := cbor.Marshal(map[int]any{1: KindCredit, 2: 7, 4: 12, 99: "from a newer peer"})
		c.Assert(err, qt.IsNil)
		f, err := Decode(raw)
		c.Assert(err, qt.IsNil)
		c.Assert(f.Credit, qt.Equals, uint32(12))
	})
	c.Run("an unknown kind is decoded, for the receiver to skip", func(c *qt.C) {
		raw, err := cbor.Marshal(map[int]any{1: 200})
		c.Assert(err, qt.IsNil)
		_, err = Decode(raw)
		c.Assert(err, qt.IsNil)
	})
	for name, raw := range map[string][]byte{
		"empty":                 {},
		"not CBOR":              []byte("GET / HTTP/1.1"),
		"no kind":               {0xa0},
		"hello without payload": must(cbor.Marshal(map[int]any{1: KindHello})),
		"call without id":       must(cbor.Marshal(map[int]any{1: KindCall, 11: map[int]any{1: "r"}})),
		"too large":             make([]byte, MaxFrameBytes+1),
		"chunk too large":       must(cbor.Marshal(map[int]any{1: KindData, 3: make([]byte, MaxChunkBytes+1)})),
	} {
		c.Run("refuses "+name, func(c *qt.C) {
			_, err := Decode(raw)
			c.Assert(err, qt.ErrorIs, ErrFrame)
		})
	}
	c.Run("a frame over the size limit is not encoded", func(c *qt.C) {
		_, err := Encode(Frame{Kind: KindDocs, Docs: &Docs{Docs: []Doc{{Source: make([]byte, MaxFrameBytes)}}}})
		c.Assert(err, qt.ErrorIs, ErrFrame)
	})
}

// FuzzDecode checks that no input makes the decoder panic, and that every decoded
// frame can be encoded again.
func FuzzDecode(f *testing.F) {
	for _, frame := range []Frame{
		{Kind: KindHeartbeat, Heartbeat: &Heartbeat{Shards: []uint32{1, 2}}},
		{Kind: KindGrant, Grant: &Grant{Run: "team/job/run", Checkpoints: map[int]string{3: "1s"}}},
		{Kind: KindRefusal, ID: 1, Refusal: &Refusal{Reason: "full"}},
	} {
		raw, err := Encode(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
		f.Add(raw[:len(raw)/2])
	}
	for _, v := range []any{
		7, "text",
		[]any{1},
		map[int]any{1: uint64(math.MaxUint64)},
		map[int]any{1: 1e300},
		map[int]any{1: 41, 21: map[int]any{13: []any{7}}},
		map[int]any{1: 41, 21: map[int]any{16: uint64(math.MaxUint64)}},
		map[int]any{1: 2, 6: map[int]any{5: []any{"10.0.0.1:99999", []byte{10, 0, 0, 1, 0, 0}}}},
	} {
		raw, err := cbor.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add(bytes.Repeat([]byte{0x81}, 10000))
	f.Fuzz(func(t *testing.T, raw []byte) {
		frame, err := Decode(raw)
		if err != nil {
			return
		}
		if _, err := Encode(frame); err != nil {
			t.Fatalf("decoded frame cannot be encoded: %v", err)
		}
	})
}

// BenchmarkFrame measures the time to encode and decode one control frame, and its
// size.
func BenchmarkFrame(b *testing.B) {
	for name, f := range map[string]Frame{
		"heartbeat":       {Kind: KindHeartbeat, Heartbeat: &Heartbeat{Shards: []uint32{1, 2, 3}, Load: Load{Running: 7, Waiting: 3, Slots: 8, ServiceTime: 20e6}}},
		"heartbeat reply": {Kind: KindHeartbeatReply, HeartbeatReply: &HeartbeatReply{Renewals: []LeaseRenewal{{Shard: 1, Epoch: 3}, {Shard: 2, Epoch: 5}, {Shard: 3, Epoch: 9}}}},
		"grant":           {Kind: KindGrant, Grant: &Grant{Run: "companhia/reconcile/2026-12-03", Seq: 1234, From: 10, To: 20, Payload: "reconcile --day 2026-12-03"}},
		"report":          {Kind: KindReport, Report: &Report{Run: "companhia/reconcile/2026-12-03", Seq: 1234, Outcomes: []Outcome{{Index: 12, Status: AttemptFinished}}}},
	} {
		b.Run(name, func(b *testing.B) {
			var size int
			for b.Loop() {
				raw, err := Encode(f)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := Decode(raw); err != nil {
					b.Fatal(err)
				}
				size = len(raw)
			}
			b.ReportMetric(float64(size), "B/frame")
		})
	}
}
