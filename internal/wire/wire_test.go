package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"

	"dunlintray/rules"
)

// decodeHex decodes hexadecimal text and ignores white space in it.
func decodeHex(t testing.TB, text string) []byte {
	t.Helper()
	decoded, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

const emptyBatch = "4020d3126e978d50 00000008 00000000 00000001"

func TestDecodeEvents(t *testing.T) {
	input := decodeHex(t, `4020d3126e978d50 00000046 00000005 0000000c
		1c 00000003
		12 5d3a91c4 3f800000 0000 91f03b7c55d20a64 40400000 40000000 01 0000 40214df3b645a1cb
		16 000000000000004d
		1c 00000005
		15 0e6f2b19`)
	batch, err := NewDecoder(bytes.NewReader(input)).Next()
	if err != nil {
		t.Fatal(err)
	}
	if batch.Seq != 12 || len(batch.Records) != 3 {
		t.Fatalf("batch %d with %d records, want batch 12 with 3", batch.Seq, len(batch.Records))
	}
	request := batch.Records[0].Event.(rules.Request)
	want := rules.Request{ID: 0x5d3a91c4, FirstGateway: 1, Customer: 0x91f03b7c55d20a64, GatewayCount: 3, Units: 2,
		Deadline: request.Deadline}
	if request != want || request.Deadline <= batch.Now || request.Deadline > batch.Now+1 {
		t.Errorf("got %+v", request)
	}
	if batch.Records[1].Event != (rules.Timer{Token: 0x4d}) || batch.Records[2].Gateway != 5 ||
		batch.Records[2].Event != (rules.ClientGone{Request: 0x0e6f2b19}) {
		t.Errorf("got %+v", batch.Records[1:])
	}
}

// An update uses the list as it is defined at that point of the batch, not as redefined later.
func TestUpdatesUseTheListDefinedLast(t *testing.T) {
	firstList := "1b 00000000 00000001 03124a07 00 0000 0000 01 3f800000 0000000000000000"
	secondList := "1b 00000000 00000001 2c9011f2 01 0000 0000 02 3fc00000 4018666666666666"
	update := "11 01 00000029 00000000"
	input := decodeHex(t, "4020d3126e978d50 00000063 00000005 00000001 1c 00000003"+firstList+update+secondList+update)
	input[11] = byte(len(input) - 12)
	batch, err := NewDecoder(bytes.NewReader(input)).Next()
	if err != nil {
		t.Fatal(err)
	}
	first, second := batch.Records[0].Event.(rules.Backends), batch.Records[1].Event.(rules.Backends)
	if first.Entries[0].ID != 0x03124a07 || first.Entries[0].State != rules.Ready || first.Kind != rules.Delta {
		t.Errorf("first list %+v", first)
	}
	if entry := second.Entries[0]; entry.ID != 0x2c9011f2 || entry.State != rules.Draining || entry.Weight != 1.5 || entry.StartedAt < 6 {
		t.Errorf("second list %+v", second)
	}
}

func TestDecodeAttemptEndAndCounter(t *testing.T) {
	input := decodeHex(t, `4020d3126e978d50 00000000 00000003 00000001 1c 00000003
		14 5d3a91c4 00 03124a07 00 3f92f1a9fbe76c8b 01 0056 0003 02 40e0000040400000
		1a 000000000089f690 00 42180000 3f619ce075f6fd22`)
	input[11] = byte(len(input) - 12)
	batch, err := NewDecoder(bytes.NewReader(input)).Next()
	if err != nil {
		t.Fatal(err)
	}
	end := batch.Records[0].Event.(rules.AttemptEnd)
	if end.Outcome != rules.Served || !end.Done || end.CustomerUsage != 0x56 || end.Units != 3 || len(end.LoadData) != 2 || end.LoadData[0] != 7 {
		t.Errorf("got %+v", end)
	}
	if reply := batch.Records[1].Event.(rules.CounterReply); reply.Name != 0x89f690 || reply.Total != 38 {
		t.Errorf("got %+v", reply)
	}
}

func TestEncodeReply(t *testing.T) {
	var reply Reply
	reply.Reset(12)
	err := reply.Add(3, []rules.Action{rules.Send{Request: 0x5d3a91c4, Backend: 0x03124a07, Timeout: 0.08},
		rules.SetTimer{Delay: 0.5, Token: 0x4d}})
	if err != nil {
		t.Fatal(err)
	}
	if err := reply.Add(5, []rules.Action{rules.Log{Text: "two servers known"}}); err != nil {
		t.Fatal(err)
	}
	want := decodeHex(t, `00000048 00000005 0000000c 57 00000003 5b 5d3a91c4 3fb47ae147ae147b 03124a07
		52 3fe0000000000000 000000000000004d 57 00000005 5c 0011 74776f2073657276657273206b6e6f776e`)
	if !bytes.Equal(reply.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", reply.Bytes(), want)
	}
	reply.Reset(1)
	if want := decodeHex(t, "00000008 00000000 00000001"); !bytes.Equal(reply.Bytes(), want) {
		t.Errorf("empty reply %x", reply.Bytes())
	}
}

// Each kind of malformed input is rejected with an error that names the fault.
func TestMalformedInput(t *testing.T) {
	for name, test := range map[string]struct{ in, says string }{
		"short header":      {"4020d3126e978d50 0000", "unexpected end of input in a batch header"},
		"impossible length": {"4020d3126e978d50 00000004 00000000 00000001", "length 4 is not 8 to 1073741824"},
		"huge length":       {"4020d3126e978d50 ffffffff 00000000 00000001", "length 4294967295 is not 8 to 1073741824"},
		"cut frame":         {"4020d3126e978d50 00000020 00000001 00000001 1c", "unexpected end of input in the frame"},
		"unknown code":      {"4020d3126e978d50 0000000e 00000002 00000001 1c 00000003 63", "unknown record code"},
		"short record":      {"4020d3126e978d50 0000000b 00000001 00000001 1c 0000", "unexpected end of frame"},
		"no gateway":        {"4020d3126e978d50 00000011 00000001 00000001 16 000000000000004d", "no gateway is selected"},
		"trailing bytes":    {"4020d3126e978d50 00000009 00000000 00000001 00", "after the last record"},
		"missing list":      {"4020d3126e978d50 00000017 00000002 00000001 1c 00000003 11 00 00000029 00000004", "list 4 is not defined"},
		"bad settings": {"4020d3126e978d50 0000001c 00000002 00000001 1c 00000003 10 0000000000000001 00000002 7b7b",
			"settings"},
	} {
		_, err := NewDecoder(bytes.NewReader(decodeHex(t, test.in))).Next()
		if err == nil || !strings.Contains(err.Error(), test.says) {
			t.Errorf("%s: error %v, want one with %q", name, err, test.says)
		}
	}
}

// The end of the input between batches is io.EOF, so that the caller can tell it from a truncated batch.
func TestEndOfInputBetweenBatches(t *testing.T) {
	decoder := NewDecoder(bytes.NewReader(decodeHex(t, emptyBatch)))
	if batch, err := decoder.Next(); err != nil || len(batch.Records) != 0 {
		t.Errorf("empty batch: %v %v", batch, err)
	}
	if _, err := decoder.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
	}
}

func TestParseSettings(t *testing.T) {
	settings, err := ParseSettings([]byte(`{"unknownKey": 1, "discovery": "ask",
		"classes": [{"objectiveS": 0.8, "deadlineS": 2, "points": 3, "effect": "by_key", "keyScope": "cell", "windowS": 5}],
		"packages": [{"pays": 0.5, "unitsPerS": 2, "depth": 4, "atOnce": 3, "neverOverRate": 9}],
		"loadReport": {"fields": ["x9", "pending"], "how": "inline"}, "allowed": {"mostTries": 4}}`))
	if err != nil {
		t.Fatal(err)
	}
	class, plan := settings.Classes[0], settings.Plans[0]
	if class.Effect != rules.ByKey || class.Scope != rules.ScopeCell || class.Aim != 0.8 || class.DedupeWindow != 5 || class.Worth != 3 {
		t.Errorf("class %+v", class)
	}
	if plan.Price != 0.5 || plan.Rate != 2 || plan.Burst != 4 || plan.MaxConcurrent != 3 || plan.CeilingRate != 9 {
		t.Errorf("plan %+v", plan)
	}
	if !settings.SubscribeToDiscovery || !settings.LoadInline || settings.MaxAttempts != 4 || settings.LoadFields[0] != rules.LoadOther ||
		settings.LoadFields[1] != rules.LoadQueued {
		t.Errorf("settings %+v", settings)
	}
	if _, err := ParseSettings([]byte(`{"classes": [{"effect": "thrice"}], "packages": [{}]}`)); err == nil {
		t.Error("no error for an unknown effect")
	}
}

// No input makes the decoder panic.
func FuzzDecode(f *testing.F) {
	f.Add(decodeHex(f, emptyBatch))
	f.Add(decodeHex(f, "4020d3126e978d50 0000000e 00000002 00000001 1c 00000003 19"))
	f.Fuzz(func(t *testing.T, input []byte) {
		decoder := NewDecoder(bytes.NewReader(input))
		for {
			if _, err := decoder.Next(); err != nil {
				return
			}
		}
	})
}
