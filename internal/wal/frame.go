package wal

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// A file is a header and frames. All numbers are little-endian.
//
//	header: magic 8 | format u16 | 0 u16 | kind 8 | number u64 | CRC32C u32 of what stands before
//	frame:  length u32 of the body | first sequence u64 | records u32 | CRC32C u32 of what stands before and the body | body
//	body:   for each record, length u32 | bytes
//
// A frame is written in one piece and made to last before the next is begun, so of
// a log's frames only the last can be torn, and it holds nothing that anybody was
// told of. A frame without records ends a file that was closed.
const (
	format           = 1
	headerBytes      = 32
	frameHeaderBytes = 20
	maxFrameBytes    = 8 << 20 // bytes of a body
)

var (
	logMagic      = [8]byte{'d', 'l', 'n', 't', '-', 'l', 'o', 'g'}
	snapshotMagic = [8]byte{'d', 'l', 'n', 't', '-', 's', 'n', 'p'}
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
)

// Damage is a part of a file that is not as it was written.
type DamageError struct {
	File    string
	Offset  int64
	Problem string
}

func (d *DamageError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", d.File, d.Offset, d.Problem)
}

// errFormat is a file of a program that is newer than this one.
var errNewerFormat = errors.New("of a later format than this program knows")

func encodeHeader(magic [8]byte, kind string, number uint64) []byte {
	buf := make([]byte, 0, headerBytes)
	buf = append(buf, magic[:]...)
	buf = binary.LittleEndian.AppendUint16(buf, format)
	buf = binary.LittleEndian.AppendUint16(buf, 0)
	var kindField [8]byte
	copy(kindField[:], kind)
	buf = append(buf, kindField[:]...)
	buf = binary.LittleEndian.AppendUint64(buf, number)
	return appendChecksum(buf)
}

// parseHeader reads a header. An error of another kind or format is final; any
// other says that the header is not whole.
func parseHeader(header []byte, magic [8]byte, kind string) (number uint64, err error) {
	if len(header) < headerBytes {
		return 0, errors.New("the header is cut short")
	}
	if crc32.Checksum(header[:headerBytes-4], castagnoli) != binary.LittleEndian.Uint32(header[headerBytes-4:]) {
		return 0, errors.New("the header's checksum is wrong")
	}
	if !bytes.Equal(header[:8], magic[:]) {
		return 0, errors.New("not such a file")
	}
	if binary.LittleEndian.Uint16(header[8:]) != format {
		return 0, errNewerFormat
	}
	if actual := string(bytes.TrimRight(header[12:20], "\x00")); actual != kind {
		return 0, &wrongKindError{actual, kind}
	}
	return binary.LittleEndian.Uint64(header[20:]), nil
}

type wrongKindError struct{ actual, expected string }

func (w *wrongKindError) Error() string {
	return fmt.Sprintf("the folder is of %q, not of %q", w.actual, w.expected)
}

// appendFrame writes a frame with records, or one that ends a file.
func appendFrame(buf []byte, first uint64, records [][]byte) []byte {
	start := len(buf)
	length := 0
	for _, r := range records {
		length += 4 + len(r)
	}
	buf = binary.LittleEndian.AppendUint32(buf, uint32(length))
	buf = binary.LittleEndian.AppendUint64(buf, first)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(records)))
	sum := crc32.Checksum(buf[start:], castagnoli)
	buf = binary.LittleEndian.AppendUint32(buf, 0)
	body := len(buf)
	for _, r := range records {
		buf = binary.LittleEndian.AppendUint32(buf, uint32(len(r)))
		buf = append(buf, r...)
	}
	binary.LittleEndian.PutUint32(buf[body-4:], crc32.Update(sum, castagnoli, buf[body:]))
	return buf
}

// frame is one as it was read.
type frame struct {
	first   uint64
	records [][]byte
	size    int64
}

var errInvalidFrame = errors.New("no whole frame")

// readFrame reads the next frame. io.EOF is the end of the file, errFrame what is
// no frame; any other error is the file system's.
func readFrame(in *bufio.Reader) (frame, error) {
	var header [frameHeaderBytes]byte
	switch _, err := io.ReadFull(in, header[:]); {
	case err == io.EOF:
		return frame{}, io.EOF
	case err == io.ErrUnexpectedEOF:
		return frame{}, errInvalidFrame
	case err != nil:
		return frame{}, err
	}
	length := binary.LittleEndian.Uint32(header[:])
	count := binary.LittleEndian.Uint32(header[12:])
	if length > maxFrameBytes || count > length/4 {
		return frame{}, errInvalidFrame
	}
	body := make([]byte, length)
	switch _, err := io.ReadFull(in, body); {
	case err == io.EOF || err == io.ErrUnexpectedEOF:
		return frame{}, errInvalidFrame
	case err != nil:
		return frame{}, err
	}
	sum := crc32.Update(crc32.Checksum(header[:frameHeaderBytes-4], castagnoli), castagnoli, body)
	if sum != binary.LittleEndian.Uint32(header[frameHeaderBytes-4:]) {
		return frame{}, errInvalidFrame
	}
	f := frame{first: binary.LittleEndian.Uint64(header[4:]), size: frameHeaderBytes + int64(length)}
	for range count {
		if len(body) < 4 || uint32(len(body)-4) < binary.LittleEndian.Uint32(body) {
			return frame{}, errInvalidFrame
		}
		n := 4 + binary.LittleEndian.Uint32(body)
		f.records = append(f.records, body[4:n:n])
		body = body[n:]
	}
	if len(body) > 0 {
		return frame{}, errInvalidFrame
	}
	return f, nil
}

// anyFrame says whether a frame that is not before sequence begins anywhere in
// what is left of a file.
func containsFrame(rest []byte, sequence uint64) bool {
	for offset := 0; offset+frameHeaderBytes <= len(rest); offset++ {
		length := binary.LittleEndian.Uint32(rest[offset:])
		if length > maxFrameBytes || int(length) > len(rest)-offset-frameHeaderBytes || binary.LittleEndian.Uint64(rest[offset+4:]) < sequence {
			continue
		}
		if f, err := readFrame(bufio.NewReader(bytes.NewReader(rest[offset : offset+frameHeaderBytes+int(length)]))); err == nil && f.first >= sequence {
			return true
		}
	}
	return false
}

// appendSum puts the checksum behind what it is of.
func appendChecksum(buf []byte) []byte {
	return binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf, castagnoli))
}
