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

func TestChunkedReader(t *testing.T) {
	for _, c := range []struct {
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
	} {
		for _, in := range []io.Reader{strings.NewReader(c.text), iotest.OneByteReader(strings.NewReader(c.text))} {
			r := &chunkedReader{r: bufio.NewReader(in)}
			body, err := io.ReadAll(r)
			if !errors.Is(err, c.err) || string(body) != c.body || r.trailer.Get("X-Sum") != c.trailer {
				t.Errorf("%.40q: %q, %v, trailer %v", c.text, body, err, r.trailer)
			}
		}
	}
}

// Ready means that a read does not wait, wherever the pieces end.
func TestChunkedReaderIsReady(t *testing.T) {
	text := "3\r\nabc\r\n5;x\r\ndefgh\r\n0\r\n\r\n"
	for end := range len(text) {
		in := &waits{rest: []byte(text[:end])}
		r := &chunkedReader{r: bufio.NewReader(in)}
		for buf := make([]byte, 8); ; {
			r.r.Peek(1) // what has come
			if !r.ready() {
				break
			}
			line := r.remaining == 0 // behind which the data may be missing
			n, err := r.Read(buf)
			if errors.Is(err, errWaits) && !line {
				t.Fatalf("%q: ready, and waited", text[:end])
			}
			if n == 0 {
				break
			}
		}
	}
}

var errWaits = errors.New("would wait")

type waits struct{ rest []byte }

func (w *waits) Read(p []byte) (int, error) {
	if len(w.rest) == 0 {
		return 0, errWaits
	}
	n := copy(p, w.rest)
	w.rest = w.rest[n:]
	return n, nil
}

// What the reader takes for a whole body, net/http does too, and for the same.
func FuzzChunkedReader(f *testing.F) {
	f.Add([]byte("3;a=b\r\nabc\r\n0\r\nX: 1\r\n\r\n"), uint64(1))
	f.Add([]byte("00A\r\n0123456789\r\n0\r\n\r\n"), uint64(2))
	f.Add([]byte("1\r\na\r\n1\r\nb\r\n0\r\n\r\nGET"), uint64(3))
	f.Fuzz(func(t *testing.T, text []byte, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 5))
		in, out := io.Pipe()
		go func() {
			for rest := text; len(rest) > 0; {
				n := 1 + random.IntN(len(rest))
				out.Write(rest[:n])
				rest = rest[n:]
			}
			out.Close()
		}()
		defer in.Close()
		ours := &chunkedReader{r: bufio.NewReader(in)}
		got, err := io.ReadAll(ours)
		if err != nil {
			return
		}
		want, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(text)))
		if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("%q: %q; net/http reads %q, %v", text, got, want, err)
		}
	})
}
