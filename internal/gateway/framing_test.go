package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"testing"
)

var framingCases = []struct {
	name, text string
	ambiguous  bool
}{
	{"no body", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", false},
	{"a length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", false},
	{"chunks", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: 1\r\n\r\n", false},
	{"a length and chunks", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
	{"chunks and a length", "POST / HTTP/1.1\r\nHost: a\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n", true},
	{"a length twice", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", true},
	{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", true},
	{"chunks in HTTP/1.0", "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", true},
	{"a folded length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n 3\r\n\r\nabc", true},
	{"a length after long padding", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length:" + strings.Repeat(" ", 60) + "3\r\n\r\nabc", true},
	{"header lines in a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 41\r\n\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n\r\n", false},
	{"header lines in a chunk", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"15\r\nContent-Length: 1\r\n\r\n\r\n0\r\n\r\n", false},
	{"bare line ends", "POST / HTTP/1.1\nHost: a\nContent-Length: 3\nTransfer-Encoding: chunked\n\n", true},
}

// Ambiguous framing is found wherever the pieces of a request end, and also after other
// requests on the connection.
func TestAmbiguousFramingIsFound(t *testing.T) {
	for _, test := range framingCases {
		for _, prefix := range []string{"", framingCases[0].text, framingCases[1].text, framingCases[2].text} {
			for size := 1; size < 50; size++ {
				var scanner framingScanner
				for rest := []byte(prefix + test.text); len(rest) > 0; rest = rest[min(size, len(rest)):] {
					scanner.scan(rest[:min(size, len(rest))])
				}
				if scanner.ambiguous != test.ambiguous {
					t.Fatalf("%s after %d bytes, in pieces of %d: ambiguous %t, want %t", test.name, len(prefix), size, scanner.ambiguous, test.ambiguous)
				}
			}
		}
	}
}

// Guards against headers and trailers whose fields take memory out of proportion to their bytes.
func TestHeadersWithTooManyFieldsAreFound(t *testing.T) {
	fields := func(count int) string { return strings.Repeat("a:\r\n", count) }
	for name, test := range map[string]struct {
		text  string
		found bool
	}{
		"as many as allowed":       {"GET / HTTP/1.1\r\n" + fields(maxHeaderFields) + "\r\n", false},
		"one too many":             {"GET / HTTP/1.1\r\n" + fields(maxHeaderFields+1), true},
		"in two headers":           {strings.Repeat("GET / HTTP/1.1\r\n"+fields(maxHeaderFields)+"\r\n", 2), false},
		"folded":                   {"GET / HTTP/1.1\r\na:\r\n" + strings.Repeat(" b\r\n", maxHeaderFields), true},
		"a trailer with too many":  {framingCases[2].text[:strings.Index(framingCases[2].text, "X: 1")] + fields(maxHeaderFields+1), true},
		"a trailer after a header": {"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + fields(maxHeaderFields-1) + "\r\n0\r\n" + fields(maxHeaderFields) + "\r\n", false},
	} {
		var scanner framingScanner
		if scanner.scan([]byte(test.text)); scanner.tooManyFields != test.found {
			t.Errorf("%s: found %t, want %t", name, scanner.tooManyFields, test.found)
		}
	}
}

// The scan of a response skips 1xx responses and ends after the header of the final one.
func TestAmbiguousFramingOfResponses(t *testing.T) {
	for text, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":             false,
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n":                             true,
		"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n": true,
		"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc":                   false,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                                                  true,
	} {
		var scanner framingScanner
		scanner.beginResponse()
		for i := range len(text) {
			scanner.scan([]byte(text[i : i+1]))
		}
		if scanner.ambiguous != want {
			t.Errorf("%q: ambiguous %t, want %t", text, scanner.ambiguous, want)
		}
	}
}

// countingReader counts the bytes that have been read.
type countingReader struct {
	reader *bytes.Reader
	count  int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p[:1]) // one at a time, so that nothing is read ahead
	r.count += n
	return n, err
}

// The scanner finds the header of every request that net/http accepts, and reports each one
// that gives its length in two ways.
func FuzzFraming(f *testing.F) {
	for _, test := range framingCases {
		f.Add([]byte(test.text))
		f.Add([]byte(framingCases[2].text + test.text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var scanner framingScanner
		input := &countingReader{reader: bytes.NewReader(text)}
		for range 10 {
			reader := bufio.NewReaderSize(input, 16)
			start := input.count
			req, err := http.ReadRequest(reader)
			if err != nil || req.ProtoMajor != 1 { // the server accepts no other version
				return
			}
			head := text[start : input.count-reader.Buffered()]
			if len(head) > maxHeaderBytes {
				return
			}
			_, rest, _ := bytes.Cut(head, []byte("\n"))
			header, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(rest))).ReadMIMEHeader()
			if err != nil {
				return
			}
			transferEncodings := len(header["Transfer-Encoding"])
			ambiguous := len(header["Content-Length"]) > 1 || transferEncodings > 0 && (len(header["Content-Length"]) > 0 || !req.ProtoAtLeast(1, 1))
			scanner.scan(head)
			if ambiguous && !scanner.ambiguous {
				t.Fatalf("ambiguous framing not found in %q", head)
			}
			if scanner.ambiguous {
				return // the server closes the connection
			}
			bodyStart := input.count - reader.Buffered()
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if reader.Buffered() > 0 {
				t.Fatal("the body was read too far")
			}
			scanner.scan(text[bodyStart:input.count])
			if scanner.state != frameStartLine {
				t.Fatalf("scanner in state %d after %q", scanner.state, text[:input.count])
			}
		}
	})
}
