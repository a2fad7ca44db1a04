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

var framed = []struct {
	name, text string
	doubt      bool
}{
	{"no body", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", false},
	{"a length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", false},
	{"chunks", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: 1\r\n\r\n", false},
	{"a length and chunks", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
	{"chunks and a length", "POST / HTTP/1.1\r\nHost: a\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n", true},
	{"a length twice", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", true},
	{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", true},
	{"chunks in HTTP/1.0", "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", true},
	{"a length on its own line", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n 3\r\n\r\nabc", true},
	{"a length far behind", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length:" + strings.Repeat(" ", 60) + "3\r\n\r\nabc", true},
	{"heads in a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 41\r\n\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n\r\n", false},
	{"heads in a chunk", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"15\r\nContent-Length: 1\r\n\r\n\r\n0\r\n\r\n", false},
	{"bare line ends", "POST / HTTP/1.1\nHost: a\nContent-Length: 3\nTransfer-Encoding: chunked\n\n", true},
}

// A head is in doubt wherever the pieces end in which it comes, and also behind
// other requests.
func TestFraming(t *testing.T) {
	for _, c := range framed {
		for _, before := range []string{"", framed[0].text, framed[1].text, framed[2].text} {
			for size := 1; size < 50; size++ {
				var f framingScanner
				for rest := []byte(before + c.text); len(rest) > 0; rest = rest[min(size, len(rest)):] {
					f.scan(rest[:min(size, len(rest))])
				}
				if f.ambiguous != c.doubt {
					t.Fatalf("%s behind %d bytes, in pieces of %d: doubt %t", c.name, len(before), size, f.ambiguous)
				}
			}
		}
	}
}

// The framing of answers ends with the head, and passes 1xx by.
func TestFramingOfAnswers(t *testing.T) {
	for text, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":             false,
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n":                             true,
		"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n": true,
		"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc":                   false,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                                                  true,
	} {
		var f framingScanner
		f.beginResponse()
		for i := range len(text) {
			f.scan([]byte(text[i : i+1]))
		}
		if f.ambiguous != want {
			t.Errorf("%q: doubt %t", text, f.ambiguous)
		}
	}
}

// seen is a reader that tells how far it was read.
type seen struct {
	r *bytes.Reader
	n int
}

func (s *seen) Read(p []byte) (int, error) {
	n, err := s.r.Read(p[:1]) // so that nothing is read ahead
	s.n += n
	return n, err
}

// Of all that net/http takes for a request, framing knows the heads, and doubts
// those whose length stands there twice.
func FuzzFraming(f *testing.F) {
	for _, a := range framed {
		f.Add([]byte(a.text))
		f.Add([]byte(framed[2].text + a.text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var read framingScanner
		in := &seen{r: bytes.NewReader(text)}
		for range 10 {
			br := bufio.NewReaderSize(in, 16)
			start := in.n
			req, err := http.ReadRequest(br)
			if err != nil || req.ProtoMajor != 1 { // the server takes no other
				return
			}
			head := text[start : in.n-br.Buffered()]
			if len(head) > maxHeaderBytes {
				return
			}
			_, rest, _ := bytes.Cut(head, []byte("\n"))
			h, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(rest))).ReadMIMEHeader()
			if err != nil {
				return
			}
			codings := len(h["Transfer-Encoding"])
			want := len(h["Content-Length"]) > 1 || codings > 0 && (len(h["Content-Length"]) > 0 || !req.ProtoAtLeast(1, 1))
			read.scan(head)
			if want && !read.ambiguous {
				t.Fatalf("no doubt about %q", head)
			}
			if read.ambiguous {
				return // the connection ends
			}
			at := in.n - br.Buffered()
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if br.Buffered() > 0 {
				t.Fatal("read ahead")
			}
			read.scan(text[at:in.n])
			if read.state != frameStartLine {
				t.Fatalf("behind %q framing is at %d", text[:in.n], read.state)
			}
		}
	})
}
