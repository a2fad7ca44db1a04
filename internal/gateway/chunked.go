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
	maxTrailerBytes  = 4 << 10  // bytes, all lines together
	maxChunkOverhead = 16 << 10 // bytes beside the data, beyond 16 for each chunk and what the data pays for
)

var errInvalidChunks = errors.New("bad chunks")

// chunkedReader reads the chunks of an answer. Unlike that of net/http, it does not
// wait for the rest of a chunk: who makes an answer may take its time with it.
type chunkedReader struct {
	r          *bufio.Reader
	trailer    http.Header // once the end has come
	remaining  uint64      // bytes of the chunk
	overhead   int64
	lineEndDue bool // a chunk has been read, whose line end is still to come
	err        error
}

// Read waits for a byte and returns what there is of the chunk that it is in.
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
	n, err := c.r.Read(p)
	c.remaining -= uint64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	c.err = err
	return n, err
}

// ready tells whether a read would not have to wait for the connection, but for
// data behind the line of its chunk.
func (c *chunkedReader) ready() bool {
	buffered, _ := c.r.Peek(c.r.Buffered())
	switch {
	case c.remaining > 0:
		return len(buffered) > 0
	case c.lineEndDue:
		buffered = buffered[min(len("\r\n"), len(buffered)):]
	}
	return bytes.IndexByte(buffered, '\n') >= 0
}

// next reads up to the data of the next chunk, or to the end.
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

// line reads a line that ends as it has to.
func (c *chunkedReader) readLine() ([]byte, error) {
	line, err := c.r.ReadSlice('\n')
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

func (c *chunkedReader) readTrailer() error {
	var lines []byte
	for {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		lines = append(append(lines, line...), "\r\n"...)
		if len(line) == 0 {
			break
		}
		if len(lines) > maxTrailerBytes {
			return errInvalidChunks
		}
	}
	if len(lines) == len("\r\n") {
		return nil
	}
	h, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(lines))).ReadMIMEHeader()
	if err != nil {
		return errInvalidChunks
	}
	c.trailer = http.Header(h)
	return nil
}

// parseHex reads the size of a chunk, which is no more than 62 bits long.
func parseHex(digits []byte) (n uint64, ok bool) {
	if len(digits) == 0 {
		return 0, false
	}
	for _, d := range digits {
		switch {
		case '0' <= d && d <= '9':
			d -= '0'
		case 'a' <= d && d <= 'f':
			d -= 'a' - 10
		case 'A' <= d && d <= 'F':
			d -= 'A' - 10
		default:
			return 0, false
		}
		if n >= 1<<58 {
			return 0, false
		}
		n = n<<4 | uint64(d)
	}
	return n, true
}
