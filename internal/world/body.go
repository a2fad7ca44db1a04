package world

import (
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Body is what a body is made of: a number, written over and over. So each end
// can tell whether it got what the other made, of any length and in no memory.
type Body struct {
	Seed uint64
	Size int64
}

const cell = 17 // bytes of the number and the space behind it

// Reader reads the body.
func (b Body) Reader() io.Reader {
	r := &bodyReader{left: b.Size}
	r.text = fmt.Appendf(nil, "%016x ", b.Seed)
	return r
}

type bodyReader struct {
	text []byte
	at   int
	left int64
}

func (r *bodyReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n := 0
	for n < len(p) && r.left > 0 {
		c := copy(p[n:], r.text[r.at:min(int64(cell), int64(r.at)+r.left)])
		n += c
		r.left -= int64(c)
		r.at = (r.at + c) % cell
	}
	return n, nil
}

var errBody = errors.New("not a body of the emulation's")

// ReadBody reads a body to its end and tells what it is made of. One of under 16
// bytes has no number that could be told.
func ReadBody(r io.Reader) (Body, error) {
	var b Body
	var buf [4096]byte
	var first []byte
	for {
		n, err := r.Read(buf[:])
		for _, c := range buf[:n] {
			at := int(b.Size % cell)
			b.Size++
			if len(first) < cell {
				if first = append(first, c); len(first) == cell-1 {
					seed, err := strconv.ParseUint(string(first), 16, 64)
					if err != nil {
						return b, errBody
					}
					b.Seed = seed
				}
				if len(first) == cell && c != ' ' {
					return b, errBody
				}
				continue
			}
			if first[at] != c {
				return b, errBody
			}
		}
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}
