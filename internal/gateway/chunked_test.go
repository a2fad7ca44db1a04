package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"
)

// Valid chunked bodies are decoded, truncated and invalid ones are errors, wherever the
// pieces of the input end.
func TestChunkedReader(t *testing.T) {
	for _, test := range []struct {
		text, body, trailer string
		err                 error
	}{
		{"3\r\nabc\r\n0\r\n\r\n", "abc", "", nil},
		{"3;a=b\r\nabc\r\n00A \r\n0123456789\r\n0;x\r\nX-Sum: 1\r\n\r\n", "abc0123456789", "1", nil},
		{"3\r\nabc", "abc", "", io.ErrUnexpectedEOF},
		{"3\r\nab", "ab", "", io.ErrUnexpectedEOF},
		{"3\r\nabc\r\n0\r\n", "abc", "", io.ErrUnexpectedEOF},
		{"3\r\nabcd\r\n0\r\n\r\n", "abc", "", errInvalidChunks},
		{"3\nabc\r\n0\r\n\r\n", "", "", errInvalidChunks},
		{"0x3\r\nabc\r\n0\r\n\r\n", "", "", errInvalidChunks},
		{"-3\r\nabc\r\n0\r\n\r\n", "", "", errInvalidChunks},
		{"\r\nabc\r\n0\r\n\r\n", "", "", errInvalidChunks},
		{"10000000000000003\r\nabc\r\n0\r\n\r\n", "", "", errInvalidChunks},
		{"3\r\rabc\r\n", "", "", errInvalidChunks},
		{"1;" + strings.Repeat("x", 5000) + "\r\na\r\n0\r\n\r\n", "", "", errInvalidChunks},
		{strings.Repeat("1;"+strings.Repeat("x", 2000)+"\r\na\r\n", 50) + "0\r\n\r\n", "aaaaaaaa", "", errInvalidChunks},
		{"0\r\n" + strings.Repeat("X: "+strings.Repeat("x", 1000)+"\r\n", 9) + "\r\n", "", "", errInvalidChunks},
		{"0\r\n" + strings.Repeat("X:\r\n", maxHeaderFields+1) + "\r\n", "", "", errInvalidChunks},
	} {
		for _, input := range []io.Reader{strings.NewReader(test.text), iotest.OneByteReader(strings.NewReader(test.text))} {
			reader := &chunkedReader{reader: bufio.NewReader(input)}
			body, err := io.ReadAll(reader)
			if !errors.Is(err, test.err) || string(body) != test.body || reader.trailer.Get("X-Sum") != test.trailer {
				t.Errorf("%.40q: body %q, %v, trailer %v; want %q, %v, trailer %q", test.text, body, err, reader.trailer, test.body, test.err, test.trailer)
			}
		}
	}
}

// When ready returns true a read does not wait, except for the data after a size line.
func TestChunkedReaderIsReady(t *testing.T) {
	text := "3\r\nabc\r\n5;x\r\ndefgh\r\n0\r\n\r\n"
	for end := range len(text) {
		input := &partialInput{remaining: []byte(text[:end])}
		reader := &chunkedReader{reader: bufio.NewReader(input)}
		for buf := make([]byte, 8); ; {
			reader.reader.Peek(1) // fills the buffer
			if !reader.ready() {
				break
			}
			atSizeLine := reader.remaining == 0 // the data after it may be missing
			n, err := reader.Read(buf)
			if errors.Is(err, errWouldWait) && !atSizeLine {
				t.Fatalf("%q: a read waited though ready returned true", text[:end])
			}
			if n == 0 {
				break
			}
		}
	}
}

var errWouldWait = errors.New("would wait")

// partialInput is a reader that fails with errWouldWait after its bytes.
type partialInput struct{ remaining []byte }

func (w *partialInput) Read(p []byte) (int, error) {
	if len(w.remaining) == 0 {
		return 0, errWouldWait
	}
	n := copy(p, w.remaining)
	w.remaining = w.remaining[n:]
	return n, nil
}

// A body that the reader decodes completely is decoded by net/http to the same bytes.
func FuzzChunkedReader(f *testing.F) {
	f.Add([]byte("3;a=b\r\nabc\r\n0\r\nX: 1\r\n\r\n"), uint64(1))
	f.Add([]byte("00A\r\n0123456789\r\n0\r\n\r\n"), uint64(2))
	f.Add([]byte("1\r\na\r\n1\r\nb\r\n0\r\n\r\nGET"), uint64(3))
	f.Fuzz(func(t *testing.T, text []byte, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 5))
		input, output := io.Pipe()
		go func() {
			for rest := text; len(rest) > 0; {
				size := 1 + random.IntN(len(rest))
				output.Write(rest[:size])
				rest = rest[size:]
			}
			output.Close()
		}()
		defer input.Close()
		decoder := &chunkedReader{reader: bufio.NewReader(input)}
		got, err := io.ReadAll(decoder)
		if err != nil {
			return
		}
		want, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(text)))
		if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("%q: %q; net/http reads %q, %v", text, got, want, err)
		}
	})
}
