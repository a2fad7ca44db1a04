package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
)

const (
	maxTrailerBytes  = 4 << 10  // all lines together
	maxChunkOverhead = 16 << 10 // bytes of size lines beyond 16 per chunk and twice the data
)

var errInvalidChunks = errors.New("invalid chunked encoding")

// chunkedReader decodes a chunked response body. Unlike the reader of net/http, it does not
// wait for the end of a chunk, which the backend may send slowly.
type chunkedReader struct {
	reader     *bufio.Reader
	trailer    http.Header // set at the end of the body
	remaining  uint64      // bytes of the current chunk
	overhead   int64       // bytes of size lines that count towards maxChunkOverhead
	lineEndDue bool        // the line end of the last chunk is still to be read
	err        error
}

// Read implements io.Reader. It waits for a byte and returns the available bytes of one chunk.
func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.err == nil && c.remaining == 0 {
		c.err = c.nextChunk()
	}
	if c.err != nil || len(p) == 0 {
		return 0, c.err
	}
	if uint64(len(p)) > c.remaining {
		p = p[:c.remaining]
	}
	n, err := c.reader.Read(p)
	c.remaining -= uint64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	c.err = err
	return n, err
}

// ready reports whether the next chunk data, or at least its size line, is buffered. A read
// may then wait only for the data after that line.
func (c *chunkedReader) ready() bool {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	switch {
	case c.remaining > 0:
		return len(buffered) > 0
	case c.lineEndDue:
		buffered = buffered[min(len("\r\n"), len(buffered)):]
	}
	return bytes.IndexByte(buffered, '\n') >= 0
}

// nextChunk reads up to the data of the next chunk. At the end of the body it returns io.EOF.
func (c *chunkedReader) nextChunk() error {
	if c.lineEndDue {
		if line, err := c.readLine(); err != nil {
			return err
		} else if len(line) > 0 {
			return errInvalidChunks
		}
	}
	line, err := c.readLine()
	if err != nil {
		return err
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, ok := parseHex(bytes.TrimRight(digits, " \t"))
	if !ok {
		return errInvalidChunks
	}
	if size == 0 {
		if err := c.readTrailer(); err != nil {
			return err
		}
		return io.EOF
	}
	c.overhead = max(c.overhead+int64(len(line))-16-2*int64(min(size, maxChunkOverhead)), 0)
	if c.overhead > maxChunkOverhead {
		return errInvalidChunks
	}
	c.remaining, c.lineEndDue = size, true
	return nil
}

// readLine reads a line, which must end in CRLF, and returns it without the line end.
func (c *chunkedReader) readLine() ([]byte, error) {
	line, err := c.reader.ReadSlice('\n')
	switch {
	case err == io.EOF:
		return nil, io.ErrUnexpectedEOF
	case err == bufio.ErrBufferFull:
		return nil, errInvalidChunks
	case err != nil:
		return nil, err
	}
	line, proper := bytes.CutSuffix(line, []byte("\r\n"))
	if !proper || bytes.IndexByte(line, '\r') >= 0 {
		return nil, errInvalidChunks
	}
	return line, nil
}

// readTrailer reads the trailers after the last chunk.
func (c *chunkedReader) readTrailer() error {
	var lines []byte
	for range maxHeaderFields + 1 {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		lines = append(append(lines, line...), "\r\n"...)
		if len(line) == 0 {
			return c.parseTrailer(lines)
		}
		if len(lines) > maxTrailerBytes {
			return errInvalidChunks
		}
	}
	return errInvalidChunks // too many fields
}

// parseTrailer parses the lines of a trailer, with the empty line at the end.
func (c *chunkedReader) parseTrailer(lines []byte) error {
	if len(lines) == len("\r\n") {
		return nil
	}
	header, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(lines))).ReadMIMEHeader()
	if err != nil {
		return errInvalidChunks
	}
	c.trailer = http.Header(header)
	return nil
}

// parseHex parses the size of a chunk, of at most 62 bits.
func parseHex(digits []byte) (value uint64, ok bool) {
	if len(digits) == 0 {
		return 0, false
	}
	for _, digit := range digits {
		switch {
		case '0' <= digit && digit <= '9':
			digit -= '0'
		case 'a' <= digit && digit <= 'f':
			digit -= 'a' - 10
		case 'A' <= digit && digit <= 'F':
			digit -= 'A' - 10
		default:
			return 0, false
		}
		if value >= 1<<58 {
			return 0, false
		}
		value = value<<4 | uint64(digit)
	}
	return value, true
}
