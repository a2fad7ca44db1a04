package membership

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A datagram is a head, entries or sums, and a checksum. All numbers are
// little-endian.
//
//	head:  magic u8 | kind u8 | from u16 | start of from u48 | sequence u32 | about u16 | digest u64 | entries, or sums, u8
//	entry: member u16 | state u8 | incarnation u32 | start u48 | by u16
//	sum:   u32 of mostCarry members in a row, the first of which is the one it is about
//	end:   CRC32C u32 of what stands before
const (
	MaxDatagramBytes = 256
	magic            = 0xd7
	headBytes        = 25
	entryBytes       = 15
	sumBytes         = 4 // of the checksum, and of one of several members
	mostSums         = (MaxDatagramBytes - headBytes - sumBytes) / sumBytes
	mostCarry        = (MaxDatagramBytes - headBytes - sumBytes) / entryBytes
	mostStart        = 1<<48 - 1
)

// kind is what a datagram wants.
type kind uint8

const (
	ping    kind = iota + 1 // to be answered with an ack
	pingFor                 // to be answered after asking the member that it is about
	ack                     // of a ping, or about a member that has answered
	nack                    // about a member that has not answered in time
	part                    // a part of a whole view; answered with what differs
	gossip                  // nothing but entries
	sums                    // sums of parts of a view; answered with the parts that differ
)

// State is what is held of a member.
type State uint8

// The states. A member that was never heard of is Unknown.
const (
	Unknown State = iota
	Alive
	Suspect
	Dead
	Left
)

var stateNames = [...]string{"unknown", "alive", "suspect", "dead", "left"}

func (s State) String() string { return stateNames[s] }

// entry is what one member says of another, or of itself.
type entry struct {
	member      int
	state       State
	incarnation uint32
	start       int64 // Unix milliseconds; a later one is another process
	by          int   // who suspects it, on its own account
}

type datagram struct {
	kind     kind
	from     int
	start    int64 // of the sender
	sequence uint32
	about    int
	digest   uint64
	entries  []entry
	sums     []uint32
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errGarbled = errors.New("no datagram of a member")

func put48(b []byte, v int64) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(v))
	return binary.LittleEndian.AppendUint16(b, uint16(v>>32))
}

func get48(b []byte) int64 {
	return int64(binary.LittleEndian.Uint32(b)) | int64(binary.LittleEndian.Uint16(b[4:]))<<32
}

func (d *datagram) encode() []byte {
	b := make([]byte, 0, headBytes+len(d.entries)*entryBytes+sumBytes)
	b = append(b, magic, byte(d.kind))
	b = binary.LittleEndian.AppendUint16(b, uint16(d.from))
	b = put48(b, d.start)
	b = binary.LittleEndian.AppendUint32(b, d.sequence)
	b = binary.LittleEndian.AppendUint16(b, uint16(d.about))
	b = binary.LittleEndian.AppendUint64(b, d.digest)
	b = append(b, byte(len(d.entries)+len(d.sums)))
	for _, s := range d.sums {
		b = binary.LittleEndian.AppendUint32(b, s)
	}
	for _, e := range d.entries {
		b = binary.LittleEndian.AppendUint16(b, uint16(e.member))
		b = append(b, byte(e.state))
		b = binary.LittleEndian.AppendUint32(b, e.incarnation)
		b = put48(b, e.start)
		b = binary.LittleEndian.AppendUint16(b, uint16(e.by))
	}
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// decode reads a datagram of a fleet with so many members.
func decode(b []byte, members int) (datagram, error) {
	var d datagram
	if len(b) < headBytes+sumBytes || len(b) > MaxDatagramBytes || b[0] != magic {
		return d, errGarbled
	}
	body := b[:len(b)-sumBytes]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(b[len(body):]) {
		return d, errGarbled
	}
	d = datagram{kind: kind(b[1]), from: int(binary.LittleEndian.Uint16(b[2:])), start: get48(b[4:]), sequence: binary.LittleEndian.Uint32(b[10:]),
		about: int(binary.LittleEndian.Uint16(b[14:])), digest: binary.LittleEndian.Uint64(b[16:])}
	n := int(b[24])
	if d.kind < ping || d.kind > sums || d.from >= members || d.about >= members {
		return d, errGarbled
	}
	if d.kind == sums {
		if n > mostSums || len(body) != headBytes+n*sumBytes {
			return d, errGarbled
		}
		for at := headBytes; at < len(body); at += sumBytes {
			d.sums = append(d.sums, binary.LittleEndian.Uint32(body[at:]))
		}
		return d, nil
	}
	if len(body) != headBytes+n*entryBytes {
		return d, errGarbled
	}
	for at := headBytes; at < len(body); at += entryBytes {
		e := entry{member: int(binary.LittleEndian.Uint16(body[at:])), state: State(body[at+2]), incarnation: binary.LittleEndian.Uint32(body[at+3:]), start: get48(body[at+7:]),
			by: int(binary.LittleEndian.Uint16(body[at+13:]))}
		if e.member >= members || e.by >= members || e.state < Alive || e.state > Left {
			return d, errGarbled
		}
		d.entries = append(d.entries, e)
	}
	return d, nil
}
