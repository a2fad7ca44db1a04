// Package wire encodes and decodes the binary frames of the simulator: batches of events for package rules,
// replies with its actions, and the JSON settings of a deployment.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"dunlintray/rules"
)

// Codes of the records in a batch.
const (
	codeAttach      = 16 // starts a gateway
	codeSync        = 17 // rules.Backends
	codeAsk         = 18 // rules.Request
	codeEstablished = 19 // rules.Established
	codeAttemptEnd  = 20 // rules.AttemptEnd
	codeAborted     = 21 // rules.ClientGone
	codeAlarm       = 22 // rules.Timer
	codeChecked     = 23 // rules.Probed
	codePeerData    = 24 // rules.PeerMessage
	codeTeardown    = 25 // stops a gateway
	codeCounter     = 26 // rules.CounterReply
	codeManifest    = 27 // defines a numbered list of backends
	codeFor         = 28 // selects the gateway of the records after it
)

const (
	batchHeaderSize   = 20      // bytes: clock 8, length 4, record count 4, sequence number 4
	headerAfterLength = 8       // bytes of the header that the length includes
	maxFrameSize      = 1 << 30 // bytes
	backendSize       = 22      // bytes of one entry of a list
	maxLists          = 16      // numbered lists
	flagClientRetry   = 2       // bit of a request's flags
)

// Start holds the fields of an Attach record, which starts a gateway.
type Start struct {
	Seed     uint64
	Settings rules.Settings
}

// Record is one event for one gateway. Exactly one of Start, Stop and Event is set.
type Record struct {
	Gateway uint32
	Start   *Start
	Stop    bool
	Event   rules.Event
}

// Batch holds the records of one point in time.
type Batch struct {
	Now     float64 // seconds
	Seq     uint32  // sequence number
	Records []Record
}

// Decoder reads batches from a stream. It keeps the numbered lists of backends that batches refer to.
type Decoder struct {
	reader  io.Reader
	buffer  []byte
	lists   [maxLists][]rules.Backend
	defined [maxLists]bool
}

// NewDecoder returns a Decoder that reads frames from reader.
func NewDecoder(reader io.Reader) *Decoder { return &Decoder{reader: reader} }

// Next reads one batch. It returns io.EOF if the input ends between two frames.
func (d *Decoder) Next() (Batch, error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(d.reader, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Batch{}, errors.New("unexpected end of input in a batch header")
		}
		return Batch{}, err
	}
	batch := Batch{Now: math.Float64frombits(binary.BigEndian.Uint64(header[0:])),
		Seq: binary.BigEndian.Uint32(header[16:])}
	length := binary.BigEndian.Uint32(header[8:])
	count := binary.BigEndian.Uint32(header[12:])
	if length < headerAfterLength || length > maxFrameSize {
		return batch, fmt.Errorf("batch %d: length %d is not %d to %d", batch.Seq, length, headerAfterLength, maxFrameSize)
	}
	if math.IsNaN(batch.Now) || math.IsInf(batch.Now, 0) {
		return batch, fmt.Errorf("batch %d: clock %v is not finite", batch.Seq, batch.Now)
	}
	body, err := d.read(int(length) - headerAfterLength)
	if err != nil {
		return batch, fmt.Errorf("batch %d: unexpected end of input in the frame", batch.Seq)
	}
	batch.Records, err = d.decodeRecords(body, count)
	if err != nil {
		return batch, fmt.Errorf("batch %d: %w", batch.Seq, err)
	}
	return batch, nil
}

// read reads the given number of bytes. The buffer grows only as they arrive, so that a wrong length does
// not allocate much memory.
func (d *Decoder) read(length int) ([]byte, error) {
	const step = 1 << 20
	d.buffer = d.buffer[:0]
	for len(d.buffer) < length {
		offset, size := len(d.buffer), min(step, length-len(d.buffer))
		d.buffer = append(d.buffer, make([]byte, size)...)
		if _, err := io.ReadFull(d.reader, d.buffer[offset:]); err != nil {
			return nil, err
		}
	}
	return d.buffer, nil
}

func (d *Decoder) decodeRecords(body []byte, count uint32) ([]Record, error) {
	cursor := &frameCursor{remaining: body}
	var records []Record
	var gateway uint32
	gatewaySet := false
	for index := range count {
		code := cursor.u8()
		if cursor.truncated {
			return nil, fmt.Errorf("record %d: unexpected end of frame", index)
		}
		record, err := d.decodeRecord(cursor, code)
		switch {
		case cursor.truncated:
			return nil, fmt.Errorf("record %d (code %d): unexpected end of frame", index, code)
		case err != nil:
			return nil, fmt.Errorf("record %d (code %d): %w", index, code, err)
		case code == codeFor:
			gateway, gatewaySet = record.Gateway, true
		case code == codeManifest:
		case !gatewaySet:
			return nil, fmt.Errorf("record %d (code %d): no gateway is selected", index, code)
		default:
			record.Gateway = gateway
			records = append(records, record)
		}
	}
	if len(cursor.remaining) > 0 {
		return nil, fmt.Errorf("%d bytes after the last record", len(cursor.remaining))
	}
	return records, nil
}

func (d *Decoder) decodeRecord(cursor *frameCursor, code uint8) (Record, error) {
	switch code {
	case codeFor:
		return Record{Gateway: cursor.u32()}, nil
	case codeManifest:
		return Record{}, d.decodeList(cursor)
	case codeAttach:
		seed := cursor.u64()
		text := cursor.bytes(int(cursor.u32()))
		if cursor.truncated {
			return Record{}, nil
		}
		settings, err := ParseSettings(text)
		return Record{Start: &Start{Seed: seed, Settings: settings}}, err
	case codeTeardown:
		return Record{Stop: true}, nil
	case codeSync:
		event, err := d.decodeListUpdate(cursor)
		return Record{Event: event}, err
	}
	event, err := cursor.event(code)
	return Record{Event: event}, err
}

// decodeList reads a list of backends and stores it under its number.
func (d *Decoder) decodeList(cursor *frameCursor) error {
	list, count := cursor.u32(), cursor.u32()
	if list >= maxLists {
		return fmt.Errorf("list number %d is not below %d", list, maxLists)
	}
	if uint64(count)*backendSize > uint64(len(cursor.remaining)) {
		cursor.truncated = true
		return nil
	}
	entries := make([]rules.Backend, count)
	for i := range entries {
		entries[i] = rules.Backend{ID: rules.BackendID(cursor.u32()), Zone: int(cursor.u8()), Kind: int(cursor.u16()),
			Cell: int(cursor.u16())}
		switch state := cursor.u8(); state {
		case 0:
			entries[i].State = rules.Gone
		case 1:
			entries[i].State = rules.Ready
		case 2:
			entries[i].State = rules.Draining
		default:
			return fmt.Errorf("unknown availability %d", state)
		}
		entries[i].Weight, entries[i].StartedAt = cursor.f32(), cursor.f64()
	}
	d.lists[list], d.defined[list] = entries, true
	return nil
}

// decodeListUpdate reads an update from discovery, which refers to a list by its number.
func (d *Decoder) decodeListUpdate(cursor *frameCursor) (rules.Event, error) {
	form := cursor.u8()
	cursor.u32() // revision; updates arrive complete and in order
	list := cursor.u32()
	if cursor.truncated {
		return nil, nil
	}
	kind, known := map[uint8]rules.ListKind{0: rules.FullList, 1: rules.Delta, 2: rules.CachedList,
		3: rules.ListFailed}[form]
	if !known {
		return nil, fmt.Errorf("unknown list form %d", form)
	}
	if kind == rules.ListFailed {
		return rules.Backends{Kind: kind}, nil
	}
	if list >= maxLists || !d.defined[list] {
		return nil, fmt.Errorf("list %d is not defined", list)
	}
	return rules.Backends{Kind: kind, Entries: d.lists[list]}, nil
}

// outcomes maps the outcome codes of the protocol.
var outcomes = map[uint8]rules.Outcome{0: rules.Served, 255: rules.Errored, 254: rules.Full,
	253: rules.TimedOut, 252: rules.ConnectFailed, 251: rules.Broken, 250: rules.Cancelled, 249: rules.NotStarted}

// event reads a record that refers to no list or settings.
func (c *frameCursor) event(code uint8) (rules.Event, error) {
	switch code {
	case codeAsk:
		return c.request(), nil
	case codeEstablished:
		event := rules.Established{Request: rules.RequestID(c.u32()), Backend: rules.BackendID(c.u32())}
		event.Took, event.Attempt = c.f64(), int(c.u8())
		return event, nil
	case codeAttemptEnd:
		return c.attemptEnd()
	case codeAborted:
		return rules.ClientGone{Request: rules.RequestID(c.u32())}, nil
	case codeAlarm:
		return rules.Timer{Token: c.u64()}, nil
	case codeChecked:
		event := rules.Probed{Backend: rules.BackendID(c.u32())}
		var err error
		event.Outcome, err = c.outcome()
		event.Took, event.LoadData = c.f64(), c.loadReport()
		return event, err
	case codePeerData:
		from := int(c.u32())
		return rules.PeerMessage{From: from, Data: append([]byte(nil), c.bytes(int(c.u16()))...)}, nil
	case codeCounter:
		event := rules.CounterReply{Name: c.u64()}
		var err error
		event.Outcome, err = c.outcome()
		event.Total, event.Took = c.f32(), c.f64()
		return event, err
	}
	return nil, errors.New("unknown record code")
}

func (c *frameCursor) request() rules.Event {
	request := rules.Request{ID: rules.RequestID(c.u32()), FirstGateway: int(c.f32()), Plan: int(c.u16()),
		Customer: rules.CustomerID(c.u64()), GatewayCount: int(c.f32()), Units: c.f32()}
	request.ClientRetry = c.u8()&flagClientRetry != 0
	request.Class, request.Deadline = int(c.u16()), c.f64()
	return request
}

func (c *frameCursor) attemptEnd() (rules.Event, error) {
	end := rules.AttemptEnd{Request: rules.RequestID(c.u32()), Attempt: int(c.u8()),
		Backend: rules.BackendID(c.u32())}
	var err error
	end.Outcome, err = c.outcome()
	end.Took, end.Done = c.f64(), c.u8() != 0
	end.CustomerUsage, end.Units = int(c.u16()), float64(c.u16())
	end.LoadData = c.loadReport()
	return end, err
}

func (c *frameCursor) outcome() (rules.Outcome, error) {
	code := c.u8()
	outcome, known := outcomes[code]
	if !known && !c.truncated {
		return outcome, fmt.Errorf("unknown outcome %d", code)
	}
	return outcome, nil
}

func (c *frameCursor) loadReport() []float64 {
	count := int(c.u8())
	if count == 0 || count*4 > len(c.remaining) {
		c.truncated = c.truncated || count > 0
		return nil
	}
	values := make([]float64, count)
	for i := range values {
		values[i] = c.f32()
	}
	return values
}

// frameCursor reads the fields of a frame. Beyond the end it returns zeros and sets truncated.
type frameCursor struct {
	remaining []byte
	truncated bool
}

func (c *frameCursor) bytes(size int) []byte {
	if size < 0 || size > len(c.remaining) {
		c.truncated, c.remaining = true, nil
		return nil
	}
	field := c.remaining[:size]
	c.remaining = c.remaining[size:]
	return field
}

// unsigned reads a big-endian integer of the given number of bytes.
func (c *frameCursor) unsigned(size int) uint64 {
	var value uint64
	for _, b := range c.bytes(size) {
		value = value<<8 | uint64(b)
	}
	return value
}

func (c *frameCursor) u8() uint8    { return uint8(c.unsigned(1)) }
func (c *frameCursor) u16() uint16  { return uint16(c.unsigned(2)) }
func (c *frameCursor) u32() uint32  { return uint32(c.unsigned(4)) }
func (c *frameCursor) u64() uint64  { return c.unsigned(8) }
func (c *frameCursor) f64() float64 { return math.Float64frombits(c.u64()) }
func (c *frameCursor) f32() float64 { return float64(math.Float32frombits(c.u32())) }
