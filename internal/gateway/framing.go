package gateway

import (
	"bytes"
	"strconv"
)

// framing reads along on a connection and finds heads that tell the length of
// their body in more than one way. net/http takes the one that counts and forgets
// the other; whoever stands before or behind may take the other, and then see a
// message where there was a body. What net/http refuses by itself is not looked at.
type framingScanner struct {
	responses bool // it reads those of a backend; else requests
	ambiguous bool // such a head has come

	bodyBytes        uint64 // bytes of bodies that have come, without their framing
	earlierBodyBytes uint64 // of these, those of the bodies before the last head
	heads            int    // that have come whole

	state             framingState
	line              [40]byte // the start of the line that is being read
	lineBytes         int      // its bytes so far
	lastTwo           [2]byte  // those before the next
	contentLengths    int      // of the head that is being read
	transferEncodings int
	remaining         uint64 // bytes of the body or chunk to come
	interim           bool   // the head is that of a 1xx
	http10            bool   // or of HTTP/1.0, which has no codings
}

type framingState int

const (
	frameStartLine framingState = iota // the first line of a head
	frameHeaders                       // its other lines
	frameBody
	frameChunkSize // the line of a chunk's size
	frameChunkData // and what belongs to it, with the line's end behind
	frameTrailers  // what stands behind the last chunk
	frameIgnored   // nothing more is looked at
)

// begin looks out for the answer to the next request.
func (f *framingScanner) beginResponse() { *f = framingScanner{responses: true} }

// between tells whether nothing has come behind the last message.
func (f *framingScanner) betweenMessages() bool { return f.state == frameStartLine && f.lineBytes == 0 }

// read takes in what has come on the connection.
func (f *framingScanner) scan(p []byte) {
	for len(p) > 0 && f.state != frameIgnored {
		if f.state == frameBody || f.state == frameChunkData {
			n := min(f.remaining, uint64(len(p)))
			p = p[n:]
			over := uint64(0) // a chunk's line end is none of its data
			if f.state == frameChunkData {
				over = 2
			}
			f.bodyBytes += max(f.remaining, over) - max(f.remaining-n, over)
			if f.remaining -= n; f.remaining == 0 {
				if f.state == frameBody {
					f.state = frameStartLine
				} else {
					f.state = frameChunkSize
				}
			}
			continue
		}
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			f.appendLine(p)
			return
		}
		f.appendLine(p[:end])
		p = p[end+1:]
		f.endLine()
	}
}

// take keeps the start of a line.
func (f *framingScanner) appendLine(p []byte) {
	if f.lineBytes < len(f.line) {
		copy(f.line[f.lineBytes:], p)
	}
	if f.lineBytes += len(p); len(p) >= 2 {
		copy(f.lastTwo[:], p[len(p)-2:])
	} else if len(p) == 1 {
		f.lastTwo = [2]byte{f.lastTwo[1], p[0]}
	}
}

// endLine reads a line whose end has come.
func (f *framingScanner) endLine() {
	if f.lineBytes > 0 && f.lastTwo[1] == '\r' {
		f.lineBytes--
		f.lastTwo[1] = f.lastTwo[0]
	}
	line, empty := f.line[:min(f.lineBytes, len(f.line))], f.lineBytes == 0
	switch f.state {
	case frameStartLine:
		if empty {
			break // before a request
		}
		f.contentLengths, f.transferEncodings, f.remaining = 0, 0, 0
		if f.responses {
			f.interim = len(line) > 9 && line[9] == '1'
			f.http10 = bytes.HasPrefix(line, []byte("HTTP/1.0"))
		} else {
			f.http10 = f.lastTwo[1] == '0'
		}
		f.state = frameHeaders
	case frameHeaders:
		if !empty {
			f.scanHeader(line)
			break
		}
		f.earlierBodyBytes = f.bodyBytes
		f.heads++
		f.ambiguous = f.ambiguous || f.contentLengths > 1 || f.transferEncodings > 0 && (f.contentLengths > 0 || f.http10)
		switch {
		case f.responses && f.interim:
			f.state = frameStartLine
		case f.responses:
			f.state = frameIgnored
		case f.transferEncodings > 0:
			f.state = frameChunkSize
		case f.remaining > 0:
			f.state = frameBody
		default:
			f.state = frameStartLine
		}
	case frameChunkSize:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 62)
		switch {
		case err != nil:
			f.state = frameIgnored // and the end of the connection
		case n == 0:
			f.state = frameTrailers
		default:
			f.state, f.remaining = frameChunkData, n+2
		}
	case frameTrailers:
		if empty {
			f.state = frameStartLine
		}
	}
	f.lineBytes = 0
}

// header notes what a line of a head says of the length.
func (f *framingScanner) scanHeader(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	name = bytes.TrimRight(name, " \t") // as some read it
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		var err error
		f.contentLengths++
		f.remaining, err = strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
		f.ambiguous = f.ambiguous || err != nil || f.lineBytes > len(f.line) // on a line of its own, or far behind
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.transferEncodings++
	}
}
