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
//	header: magic 8 | format u16 | 0 u16 | kind 8 | number u64 | CRC32C u32 of the preceding bytes
//	frame:  length u32 of the body | first sequence u64 | records u32 | CRC32C u32 of the preceding bytes and the body | body
//	body:   for each record, length u32 | bytes
//
// Each frame is synced before the next is written, so only the last frame of a log can be torn, and
// its records have not been acknowledged. A frame without records marks the end of a closed file.
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

// DamageError reports the part of a file that differs from what was written.
type DamageError struct {
	File    string
	Offset  int64
	Problem string
}

func (d *DamageError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", d.File, d.Offset, d.Problem)
}

// errNewerFormat is the error of a file with an unsupported format.
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

// parseHeader decodes a header. It returns errNewerFormat or a wrongKindError for a valid header of
// another format or kind, and another error for an incomplete or damaged one.
func parseHeader(header []byte, magic [8]byte, kind string) (number uint64, err error) {
	if len(header) < headerBytes {
		return 0, fmt.Errorf("header truncated: got %d of %d bytes", len(header), headerBytes)
	}
	if crc32.Checksum(header[:headerBytes-4], castagnoli) != binary.LittleEndian.Uint32(header[headerBytes-4:]) {
		return 0, errors.New("header checksum mismatch")
	}
	if !bytes.Equal(header[:8], magic[:]) {
		return 0, errors.New("unknown magic number in the header")
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

// appendFrame encodes a frame. Without records it marks the end of a file.
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

// frame is a decoded frame. size includes its header.
type frame struct {
	first   uint64
	records [][]byte
	size    int64
}

var errInvalidFrame = errors.New("incomplete or damaged frame")

// readFrame reads the next frame. It returns io.EOF at the end of the file, errInvalidFrame for
// bytes that are no frame, and otherwise the error of the file system.
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
	decoded := frame{first: binary.LittleEndian.Uint64(header[4:]), size: frameHeaderBytes + int64(length)}
	for range count {
		if len(body) < 4 || uint32(len(body)-4) < binary.LittleEndian.Uint32(body) {
			return frame{}, errInvalidFrame
		}
		n := 4 + binary.LittleEndian.Uint32(body)
		decoded.records = append(decoded.records, body[4:n:n])
		body = body[n:]
	}
	if len(body) > 0 {
		return frame{}, errInvalidFrame
	}
	return decoded, nil
}

// containsFrame reports whether a valid frame with a first sequence of at least sequence starts
// anywhere in rest.
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

// appendChecksum appends the checksum of buf.
func appendChecksum(buf []byte) []byte {
	return binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf, castagnoli))
}
