package wire

import (
	"bytes"
	"reflect"
	"testing"
)

// Arbitrary input must never yield a frame without exactly one message, and each decoded frame
// must consume input, or the loop over the frames of a WebSocket message would not end.
func FuzzDecodeFirst(fu *testing.F) {
	buf := bytes.Buffer{}
	for _, fr := range []*Frame{{Cancel: &Cancel{Attempt: "a"}}, {Chunk: &Chunk{Attempt: "a", Sequence: 1, Data: []byte("x")}}} {
		if err := Append(&buf, fr); err != nil {
			fu.Fatal(err)
		}
	}
	fu.Add(buf.Bytes())
	fu.Add([]byte{0xa0})
	fu.Fuzz(func(t *testing.T, data []byte) {
		for len(data) > 0 {
			fr, rest, err := DecodeFirst(data)
			if err != nil {
				return
			}
			if fr.countMessages() != 1 || len(rest) >= len(data) {
				t.Fatal("accepted a frame without exactly one message, or consumed no data")
			}
			data = rest
		}
	})
}

func TestEncodedMessageDecodesToTheSameMessage(t *testing.T) {
	for _, fr := range []*Frame{
		{Hello: &Hello{Entry: "e"}}, {Welcome: &Welcome{}}, {Heartbeat: &Heartbeat{}}, {Report: &Report{}}, {Dispatch: &Dispatch{}},
		{Credit: &Credit{}}, {Cancel: &Cancel{}}, {Void: &Void{}}, {Verdict: &Verdict{}}, {Refusal: &Refusal{}}, {Head: &Head{}},
		{Chunk: &Chunk{}}, {End: &End{}}, {Holdings: &Holdings{}}, {Reserve: &Reserve{}}, {Grant: &Grant{}}, {Queued: &Queued{}},
		{Release: &Release{}}, {Prepare: &Prepare{}}, {Started: &Started{Attempt: "a"}},
		{Peers: &Peers{Entries: []Peer{{Name: "e", Address: "10.0.0.1:7"}}}}, {LogBatch: &LogBatch{Topic: "servers", From: 1, End: 2, Records: []byte("x")}},
		{CrashReport: &CrashReport{Server: "s", Born: 1, Age: 2, Fingerprints: []string{"f"}, Parts: []string{"p"}}},
		{PartReport: &PartReport{Parts: []string{"p"}, Sound: true, Prober: "e", Age: 3}},
		{LeaseQuery: &LeaseQuery{Attempt: "a", Server: "s", PerSecond: 1.6, Count: 1}}, {LeaseAnswer: &LeaseAnswer{Attempt: "a", Wait: 5}},
		{QuotaQuery: &QuotaQuery{Query: "q", Organisation: "o", Version: 3, PerSecond: 0.5, Burst: 2, Amount: 7, Needed: 4, Returned: 1}}, {QuotaAnswer: &QuotaAnswer{Query: "q", Wait: 5}},
	} {
		buf := bytes.Buffer{}
		if err := Append(&buf, fr); err != nil {
			t.Fatal(err)
		}
		got, rest, err := DecodeFirst(buf.Bytes())
		if err != nil || len(rest) > 0 || !reflect.DeepEqual(got, fr) {
			t.Errorf("%+v decoded as %+v, error %v", fr, got, err)
		}
	}
}

// maxHoldingsBytes is the maximum size of an encoded Holdings frame, in bytes. An entry node may
// receive 4 KB of these frames per second, and of 6,500 engines and 390 entry nodes, each entry
// node has a share of 6500/390 engines that send one frame per second. That is 16 engines, rounded
// down, and 256 bytes for each frame.
const maxHoldingsBytes = 4096 / (6500 / 390)

// A kind of message that is not counted ends the connection of whoever receives it.
func TestEveryKindOfMessageIsCounted(t *testing.T) {
	kinds := reflect.TypeFor[Frame]()
	for ix := range kinds.NumField() {
		fr := &Frame{}
		field := reflect.ValueOf(fr).Elem().Field(ix)
		field.Set(reflect.New(field.Type().Elem()))
		if fr.countMessages() != 1 {
			t.Errorf("a frame with %s carries %d messages, want 1", kinds.Field(ix).Name, fr.countMessages())
		}
	}
}

func TestHoldingsWithSixOccupiedSlotsFitTheSizeLimit(t *testing.T) {
	fr := &Frame{Holdings: &Holdings{Load: EngineLoad{
		Known: true, Model: "base-70b", Born: 1772215745018, Slots: 6, BacklogMs: 1500, LoadMs: 300, Running: 60, Waiting: 12,
		MemoryFree: 120_000, Entries: 390,
	}}}
	for ix := range 6 {
		fr.Holdings.Slots = append(fr.Holdings.Slots, SlotReport{
			Adapter: "adapter-1400" + string(rune('0'+ix)), Version: 12, State: "ready", Pins: 10, Waiting: 2,
		})
	}
	buf := bytes.Buffer{}
	if err := Append(&buf, fr); err != nil {
		t.Fatal(err)
	}
	if buf.Len() > maxHoldingsBytes {
		t.Errorf("encoded size is %d bytes, want at most %d", buf.Len(), maxHoldingsBytes)
	}
	got, _, err := DecodeFirst(buf.Bytes())
	if err != nil || got.Holdings == nil || len(got.Holdings.Slots) != 6 || got.Holdings.Slots[5] != fr.Holdings.Slots[5] || got.Holdings.Load != fr.Holdings.Load {
		t.Errorf("decoded %+v, error %v", got, err)
	}
}
