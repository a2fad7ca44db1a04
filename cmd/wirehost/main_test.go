package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"os"
	"os/exec"
	"strings"
	"testing"
)

const settings = `{"classes": [{"objectiveS": 1, "deadlineS": 2, "points": 1}], "packages": [{"pays": 1}], "fleetSize": 1,
	"tickS": 0.002, "allowed": {"mostTries": 2}}`

func encodeBatch(seq uint32, records ...[]byte) []byte {
	var body []byte
	for _, r := range records {
		body = append(body, r...)
	}
	out := binary.BigEndian.AppendUint64(nil, math.Float64bits(5))
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)+8))
	out = binary.BigEndian.AppendUint32(out, uint32(len(records)))
	return append(binary.BigEndian.AppendUint32(out, seq), body...)
}

func instanceRecord(n byte) []byte { return []byte{28, 0, 0, 0, n} }

func attachRecord() []byte {
	out := binary.BigEndian.AppendUint32(append([]byte{16}, make([]byte, 8)...), uint32(len(settings)))
	return append(out, settings...)
}

// Actions of a gateway that is stopped and started again in the same batch come from the second start only.
func TestRestartWithinABatch(t *testing.T) {
	input := encodeBatch(1, instanceRecord(2), attachRecord(), []byte{25}, attachRecord())
	input = append(input, encodeBatch(2)...)
	var output bytes.Buffer
	if err := serve(bytes.NewReader(input), &output); err != nil {
		t.Fatal(err)
	}
	frames := output.Bytes()
	if n := binary.BigEndian.Uint32(frames[4:]); n != 2 { // its number and one timer, from the second start only
		t.Errorf("%d records in the first reply, want 2", n)
	}
	if second := frames[4+binary.BigEndian.Uint32(frames):]; !bytes.Equal(second, []byte{0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 2}) {
		t.Errorf("second reply %x, want an empty one", second)
	}
}

// A request with an unknown plan and an event for a gateway that was never started end the stream.
func TestUnknownPlanOrInstanceIsAnError(t *testing.T) {
	request := append([]byte{18}, make([]byte, 37)...)
	request[10] = 9 // plan
	for _, input := range [][]byte{encodeBatch(1, instanceRecord(2), attachRecord(), request), encodeBatch(1, instanceRecord(2), []byte{25})} {
		if err := serve(bytes.NewReader(input), &bytes.Buffer{}); err == nil {
			t.Errorf("no error for %x", input)
		}
	}
}

// TestMain runs the command itself if WIREHOST_TEST_RUN is set.
func TestMain(m *testing.M) {
	if os.Getenv("WIREHOST_TEST_RUN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Malformed input makes the command exit with one line on standard error.
func TestMalformedInputExitsWithAnError(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "WIREHOST_TEST_RUN=1")
	cmd.Stdin = strings.NewReader("this is no frame, but it is long enough")
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	if err := cmd.Run(); err == nil {
		t.Error("exit status 0, want an error")
	}
	if text := stderr.String(); strings.Count(text, "\n") != 1 || strings.Contains(text, "goroutine") {
		t.Errorf("want one line and no stack trace on stderr, got %q", text)
	}
}
