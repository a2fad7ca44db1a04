package gateway

import (
	"bytes"
	"strconv"
)

// framing reads along on a connection and finds heads that tell the length of
// their body in more than one way. net/http takes the one that counts and forgets
// the other; whoever stands before or behind may take the other, and then see a
// message where there was a body. What net/http refuses by itself is not looked at.
type framing struct {
	answers bool // it reads those of a backend; else requests
	doubt   bool // such a head has come

	data   uint64 // bytes of bodies that have come, without their framing
	passed uint64 // of these, those of the bodies before the last head
	heads  int    // that have come whole

	part    framePart
	line    [40]byte // the start of the line that is being read
	n       int      // its bytes so far
	last    [2]byte  // those before the next
	lengths int      // of the head that is being read
	codings int
	left    uint64 // bytes of the body or chunk to come
	interim bool   // the head is that of a 1xx
	old     bool   // or of HTTP/1.0, which has no codings
}

type framePart int

const (
	frameFirst framePart = iota // the first line of a head
	frameHead                   // its other lines
	frameBody
	frameChunk    // the line of a chunk's size
	frameData     // and what belongs to it, with the line's end behind
	frameTrailers // what stands behind the last chunk
	frameRest     // nothing more is looked at
)

// begin looks out for the answer to the next request.
func (f *framing) begin() { *f = framing{answers: true} }

// between tells whether nothing has come behind the last message.
func (f *framing) between() bool { return f.part == frameFirst && f.n == 0 }

// read takes in what has come on the connection.
func (f *framing) read(p []byte) {
	for len(p) > 0 && f.part != frameRest {
		if f.part == frameBody || f.part == frameData {
			n := min(f.left, uint64(len(p)))
			p = p[n:]
			over := uint64(0) // a chunk's line end is none of its data
			if f.part == frameData {
				over = 2
			}
			f.data += max(f.left, over) - max(f.left-n, over)
			if f.left -= n; f.left == 0 {
				if f.part == frameBody {
					f.part = frameFirst
				} else {
					f.part = frameChunk
				}
			}
			continue
		}
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			f.take(p)
			return
		}
		f.take(p[:end])
		p = p[end+1:]
		f.endLine()
	}
}

// take keeps the start of a line.
func (f *framing) take(p []byte) {
	if f.n < len(f.line) {
		copy(f.line[f.n:], p)
	}
	if f.n += len(p); len(p) >= 2 {
		copy(f.last[:], p[len(p)-2:])
	} else if len(p) == 1 {
		f.last = [2]byte{f.last[1], p[0]}
	}
}

// endLine reads a line whose end has come.
func (f *framing) endLine() {
	if f.n > 0 && f.last[1] == '\r' {
		f.n--
		f.last[1] = f.last[0]
	}
	line, empty := f.line[:min(f.n, len(f.line))], f.n == 0
	switch f.part {
	case frameFirst:
		if empty {
			break // before a request
		}
		f.lengths, f.codings, f.left = 0, 0, 0
		if f.answers {
			f.interim = len(line) > 9 && line[9] == '1'
			f.old = bytes.HasPrefix(line, []byte("HTTP/1.0"))
		} else {
			f.old = f.last[1] == '0'
		}
		f.part = frameHead
	case frameHead:
		if !empty {
			f.header(line)
			break
		}
		f.passed = f.data
		f.heads++
		f.doubt = f.doubt || f.lengths > 1 || f.codings > 0 && (f.lengths > 0 || f.old)
		switch {
		case f.answers && f.interim:
			f.part = frameFirst
		case f.answers:
			f.part = frameRest
		case f.codings > 0:
			f.part = frameChunk
		case f.left > 0:
			f.part = frameBody
		default:
			f.part = frameFirst
		}
	case frameChunk:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 62)
		switch {
		case err != nil:
			f.part = frameRest // and the end of the connection
		case n == 0:
			f.part = frameTrailers
		default:
			f.part, f.left = frameData, n+2
		}
	case frameTrailers:
		if empty {
			f.part = frameFirst
		}
	}
	f.n = 0
}

// header notes what a line of a head says of the length.
func (f *framing) header(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	name = bytes.TrimRight(name, " \t") // as some read it
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		var err error
		f.lengths++
		f.left, err = strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
		f.doubt = f.doubt || err != nil || f.n > len(f.line) // on a line of its own, or far behind
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.codings++
	}
}
