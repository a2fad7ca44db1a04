package world

import (
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Body describes the body of an HTTP message: the 16 hexadecimal digits of Seed and a space, repeated
// up to Size bytes. A receiver can verify a body of any size without storing it.
type Body struct {
	Seed uint64
	Size int64
}

const blockBytes = 17 // 16 digits and a space

// Reader returns a reader of the body's content.
func (b Body) Reader() io.Reader {
	r := &bodyReader{remaining: b.Size}
	r.block = fmt.Appendf(nil, "%016x ", b.Seed)
	return r
}

type bodyReader struct {
	block     []byte
	offset    int
	remaining int64
}

func (r *bodyReader) Read(buffer []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	n := 0
	for n < len(buffer) && r.remaining > 0 {
		copied := copy(buffer[n:], r.block[r.offset:min(int64(blockBytes), int64(r.offset)+r.remaining)])
		n += copied
		r.remaining -= int64(copied)
		r.offset = (r.offset + copied) % blockBytes
	}
	return n, nil
}

var errNotEmulatedBody = errors.New("body does not have the emulated content")

// ReadBody reads a body to its end and returns its description. The Seed of a body shorter than
// 16 bytes is 0. It returns an error if r fails or the content is not that of a Body.
func ReadBody(r io.Reader) (Body, error) {
	var body Body
	var buf [4096]byte
	var first []byte
	for {
		n, err := r.Read(buf[:])
		for _, c := range buf[:n] {
			offset := int(body.Size % blockBytes)
			body.Size++
			if len(first) < blockBytes {
				if first = append(first, c); len(first) == blockBytes-1 {
					seed, err := strconv.ParseUint(string(first), 16, 64)
					if err != nil {
						return body, errNotEmulatedBody
					}
					body.Seed = seed
				}
				if len(first) == blockBytes && c != ' ' {
					return body, errNotEmulatedBody
				}
				continue
			}
			if first[offset] != c {
				return body, errNotEmulatedBody
			}
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}
