package membership

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A datagram is a header, entries or sums, and a checksum. All numbers are little-endian.
//
//	header:   magic u8 | kind u8 | from u16 | start of from u48 | sequence u32 | subject u16 | digest u64 | number of entries or sums u8
//	entry:    member u16 | state u8 | incarnation u32 | start u48 | suspectedBy u16
//	sum:      u32 over maxEntries consecutive members; the first sum begins at subject
//	checksum: CRC32C u32 of all preceding bytes
const (
	// MaxDatagramBytes is the size of the largest datagram.
	MaxDatagramBytes = 256

	magic       = 0xd7
	headerBytes = 25
	entryBytes  = 15
	sumBytes    = 4 // of the checksum, and of one sum
	maxSums     = (MaxDatagramBytes - headerBytes - sumBytes) / sumBytes
	maxEntries  = (MaxDatagramBytes - headerBytes - sumBytes) / entryBytes
	maxStart    = 1<<48 - 1
)

// kind is the type of a datagram.
type kind uint8

const (
	ping        kind = iota + 1 // answered with an ack
	pingRequest                 // asks for an indirect probe of the subject; answered with an ack or a nack
	ack                         // the subject has answered a ping
	nack                        // the subject has not answered a relayed ping in time
	viewPart                    // entries of consecutive members; answered with newer ones
	gossip                      // carries entries only
	viewSums                    // checksums of parts of a view; answered with the parts that differ
)

// State is the state of a member in a node's view. Its values are sent in datagrams.
type State uint8

// The states of a member. Unknown: no entry about it has been received; Left: it has announced
// that it leaves.
const (
	Unknown State = iota
	Alive
	Suspect
	Dead
	Left
)

var stateNames = [...]string{"unknown", "alive", "suspect", "dead", "left"}

// String returns the name of the state in lower case.
func (s State) String() string { return stateNames[s] }

// entry is the state of a member as another member, or that member itself, disseminates it.
type entry struct {
	member      int
	state       State
	incarnation uint32
	start       int64 // start of the member's process in Unix milliseconds
	suspectedBy int   // the member that suspects it independently
}

// datagram is a decoded datagram. It has entries or, if its kind is viewSums, sums.
type datagram struct {
	kind     kind
	from     int
	start    int64 // start of the sender's process in Unix milliseconds
	sequence uint32
	subject  int
	digest   uint64
	entries  []entry
	sums     []uint32
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errMalformed = errors.New("membership: malformed datagram")

// appendUint48 appends the low 48 bits of v to b.
func appendUint48(b []byte, v int64) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(v))
	return binary.LittleEndian.AppendUint16(b, uint16(v>>32))
}

// uint48 decodes the first six bytes of b.
func uint48(b []byte) int64 {
	return int64(binary.LittleEndian.Uint32(b)) | int64(binary.LittleEndian.Uint16(b[4:]))<<32
}

func (d *datagram) encode() []byte {
	data := make([]byte, 0, headerBytes+len(d.entries)*entryBytes+sumBytes)
	data = append(data, magic, byte(d.kind))
	data = binary.LittleEndian.AppendUint16(data, uint16(d.from))
	data = appendUint48(data, d.start)
	data = binary.LittleEndian.AppendUint32(data, d.sequence)
	data = binary.LittleEndian.AppendUint16(data, uint16(d.subject))
	data = binary.LittleEndian.AppendUint64(data, d.digest)
	data = append(data, byte(len(d.entries)+len(d.sums)))
	for _, s := range d.sums {
		data = binary.LittleEndian.AppendUint32(data, s)
	}
	for _, e := range d.entries {
		data = binary.LittleEndian.AppendUint16(data, uint16(e.member))
		data = append(data, byte(e.state))
		data = binary.LittleEndian.AppendUint32(data, e.incarnation)
		data = appendUint48(data, e.start)
		data = binary.LittleEndian.AppendUint16(data, uint16(e.suspectedBy))
	}
	return binary.LittleEndian.AppendUint32(data, crc32.Checksum(data, castagnoli))
}

// decode decodes a datagram. It returns errMalformed for a wrong size or checksum, an unknown kind
// or state, and a member number that is not below members.
func decode(data []byte, members int) (datagram, error) {
	var message datagram
	if len(data) < headerBytes+sumBytes || len(data) > MaxDatagramBytes || data[0] != magic {
		return message, errMalformed
	}
	body := data[:len(data)-sumBytes]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(data[len(body):]) {
		return message, errMalformed
	}
	message = datagram{kind: kind(data[1]), from: int(binary.LittleEndian.Uint16(data[2:])), start: uint48(data[4:]), sequence: binary.LittleEndian.Uint32(data[10:]),
		subject: int(binary.LittleEndian.Uint16(data[14:])), digest: binary.LittleEndian.Uint64(data[16:])}
	count := int(data[24])
	if message.kind < ping || message.kind > viewSums || message.from >= members || message.subject >= members {
		return message, errMalformed
	}
	if message.kind == viewSums {
		if count > maxSums || len(body) != headerBytes+count*sumBytes {
			return message, errMalformed
		}
		for offset := headerBytes; offset < len(body); offset += sumBytes {
			message.sums = append(message.sums, binary.LittleEndian.Uint32(body[offset:]))
		}
		return message, nil
	}
	if len(body) != headerBytes+count*entryBytes {
		return message, errMalformed
	}
	for offset := headerBytes; offset < len(body); offset += entryBytes {
		e := entry{member: int(binary.LittleEndian.Uint16(body[offset:])), state: State(body[offset+2]), incarnation: binary.LittleEndian.Uint32(body[offset+3:]), start: uint48(body[offset+7:]),
			suspectedBy: int(binary.LittleEndian.Uint16(body[offset+13:]))}
		if e.member >= members || e.suspectedBy >= members || e.state < Alive || e.state > Left {
			return message, errMalformed
		}
		message.entries = append(message.entries, e)
	}
	return message, nil
}
