package gateway

import (
	"bytes"
	"strconv"
)

// maxHeaderFields is the number of fields that a header or a trailer may have. A field takes
// memory beyond its bytes, so a limit of the bytes alone does not bound the memory.
const maxHeaderFields = 100

// framingScanner scans the bytes of an HTTP/1 connection for messages whose header gives the
// length of the body in more than one way. net/http applies one of them silently; another
// proxy may apply the other and take part of a body for a message (request smuggling).
// It also finds headers and trailers with more than maxHeaderFields, before net/http has parsed
// them. Messages that net/http rejects itself are not checked.
type framingScanner struct {
	responses     bool // scans the responses of a backend; otherwise requests
	ambiguous     bool // a header with two lengths was found
	tooManyFields bool // a header or trailer with more than maxHeaderFields was found

	bodyBytes        uint64 // body bytes so far, without their framing
	earlierBodyBytes uint64 // body bytes before the last header
	heads            int    // complete headers so far

	state             framingState
	line              [40]byte // start of the current line
	lineBytes         int      // length of the current line so far
	lastTwo           [2]byte  // last two bytes scanned
	headerBytes       int      // of the current header, line ends left out
	fields            int      // lines of the current header or trailer, folded ones included
	contentLengths    int      // Content-Length lines in the current header
	transferEncodings int      // Transfer-Encoding lines in the current header
	remaining         uint64   // bytes to come of the body, or of the chunk and its line end
	interim           bool     // the current header is of a 1xx response
	http10            bool     // the current message is HTTP/1.0, which has no transfer encodings
}

// framingState is the part of a message that is being scanned.
type framingState int

const (
	frameStartLine framingState = iota
	frameHeaders
	frameBody
	frameChunkSize
	frameChunkData // with the line end after it
	frameTrailers
	frameIgnored // nothing more is scanned
)

// beginResponse starts the scan of the response to the next request.
func (f *framingScanner) beginResponse() { *f = framingScanner{responses: true} }

// betweenMessages reports whether nothing has been scanned after the last message.
func (f *framingScanner) betweenMessages() bool { return f.state == frameStartLine && f.lineBytes == 0 }

// scan scans the next bytes of the connection.
func (f *framingScanner) scan(data []byte) {
	for len(data) > 0 && f.state != frameIgnored {
		if f.state == frameBody || f.state == frameChunkData {
			skipped := min(f.remaining, uint64(len(data)))
			data = data[skipped:]
			lineEnd := uint64(0) // the line end is not part of the data
			if f.state == frameChunkData {
				lineEnd = 2
			}
			f.bodyBytes += max(f.remaining, lineEnd) - max(f.remaining-skipped, lineEnd)
			if f.remaining -= skipped; f.remaining == 0 {
				if f.state == frameBody {
					f.state = frameStartLine
				} else {
					f.state = frameChunkSize
				}
			}
			continue
		}
		newline := bytes.IndexByte(data, '\n')
		if newline < 0 {
			f.appendLine(data)
			return
		}
		f.appendLine(data[:newline])
		data = data[newline+1:]
		f.endLine()
	}
}

// appendLine adds bytes to the current line, of which only the start is kept.
func (f *framingScanner) appendLine(data []byte) {
	if f.state == frameStartLine || f.state == frameHeaders {
		f.headerBytes += len(data)
	}
	if f.lineBytes < len(f.line) {
		copy(f.line[f.lineBytes:], data)
	}
	if f.lineBytes += len(data); len(data) >= 2 {
		copy(f.lastTwo[:], data[len(data)-2:])
	} else if len(data) == 1 {
		f.lastTwo = [2]byte{f.lastTwo[1], data[0]}
	}
}

// endLine parses the current line, which is complete.
func (f *framingScanner) endLine() {
	if f.lineBytes > 0 && f.lastTwo[1] == '\r' {
		f.lineBytes--
		f.lastTwo[1] = f.lastTwo[0]
	}
	line, empty := f.line[:min(f.lineBytes, len(f.line))], f.lineBytes == 0
	switch f.state {
	case frameStartLine:
		if empty {
			break // empty lines may precede a request
		}
		f.fields, f.contentLengths, f.transferEncodings, f.remaining = 0, 0, 0, 0
		if f.responses {
			f.interim = len(line) > 9 && line[9] == '1'
			f.http10 = bytes.HasPrefix(line, []byte("HTTP/1.0"))
		} else {
			f.http10 = f.lastTwo[1] == '0'
		}
		f.state = frameHeaders
	case frameHeaders:
		if !empty {
			f.countField()
			f.scanHeader(line)
			break
		}
		f.earlierBodyBytes, f.headerBytes = f.bodyBytes, 0
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
			f.state = frameIgnored // net/http closes the connection
		case n == 0:
			f.state, f.fields = frameTrailers, 0
		default:
			f.state, f.remaining = frameChunkData, n+2
		}
	case frameTrailers:
		if empty {
			f.state = frameStartLine
		} else {
			f.countField()
		}
	}
	f.lineBytes = 0
}

// countField counts a line of a header or a trailer.
func (f *framingScanner) countField() {
	f.fields++
	f.tooManyFields = f.tooManyFields || f.fields > maxHeaderFields
}

// scanHeader parses a header line that gives the length of the body.
func (f *framingScanner) scanHeader(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	name = bytes.TrimRight(name, " \t") // some parsers accept this
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		var err error
		f.contentLengths++
		f.remaining, err = strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
		f.ambiguous = f.ambiguous || err != nil || f.lineBytes > len(f.line) // folded, or too long to be kept
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.transferEncodings++
	}
}
