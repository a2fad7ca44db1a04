package wire

import (
	"encoding/binary"
	"fmt"
	"math"

	"dunlintray/rules"
)

// Codes of the records in a reply.
const (
	codeAskLoad       = 80 // rules.Probe
	codeDropAttempt   = 81 // rules.Cancel
	codeSleep         = 82 // rules.SetTimer
	codeCount         = 85 // rules.Count
	codeDecline       = 86 // rules.Refuse
	codeSpeaking      = 87 // selects the gateway of the records after it
	codeStreamChanges = 88 // rules.Subscribe
	codeAbort         = 89 // rules.Fail
	codePassOn        = 91 // rules.Send
	codeLog           = 92 // rules.Log
)

const replyHeaderSize = 12 // bytes: length 4, record count 4, sequence number 4

// Reply collects the actions of all gateways in answer to one batch. The zero value needs a Reset.
type Reply struct {
	buf   []byte
	count uint32
}

// Reset empties the reply, for the batch with this sequence number.
func (r *Reply) Reset(seq uint32) {
	r.buf = append(r.buf[:0], make([]byte, replyHeaderSize)...)
	binary.BigEndian.PutUint32(r.buf[8:], seq)
	r.count = 0
}

// Add appends the actions of one gateway. It returns an error for an action that the protocol does not have.
func (r *Reply) Add(gateway uint32, actions []rules.Action) error {
	if len(actions) == 0 {
		return nil
	}
	r.startRecord(codeSpeaking)
	r.u32(gateway)
	for _, action := range actions {
		if err := r.encode(action); err != nil {
			return err
		}
	}
	return nil
}

// Bytes returns the complete frame. It is valid until the next Reset.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.buf[0:], uint32(len(r.buf)-4))
	binary.BigEndian.PutUint32(r.buf[4:], r.count)
	return r.buf
}

func (r *Reply) encode(action rules.Action) error {
	switch action := action.(type) {
	case rules.Send:
		r.startRecord(codePassOn)
		r.u32(uint32(action.Request))
		r.f64(action.Timeout)
		r.u32(uint32(action.Backend))
	case rules.Cancel:
		r.startRecord(codeDropAttempt)
		r.u32(uint32(action.Request))
		r.buf = append(r.buf, uint8(action.Attempt))
	case rules.Refuse:
		r.startRecord(codeDecline)
		r.u32(uint32(action.Request))
		r.f64(action.RetryAfter)
	case rules.Fail:
		r.startRecord(codeAbort)
		r.u32(uint32(action.Request))
	case rules.SetTimer:
		r.startRecord(codeSleep)
		r.f64(action.Delay)
		r.u64(action.Token)
	case rules.Count:
		r.startRecord(codeCount)
		r.u64(action.Name)
		r.u32(math.Float32bits(float32(action.Amount)))
		r.f64(action.TTL)
	case rules.Probe:
		r.startRecord(codeAskLoad)
		r.u32(uint32(action.Backend))
	case rules.Subscribe:
		r.startRecord(codeStreamChanges)
		r.buf = append(r.buf, 1)
	case rules.Log:
		r.startRecord(codeLog)
		text := action.Text[:min(len(action.Text), math.MaxUint16)]
		r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(len(text)))
		r.buf = append(r.buf, text...)
	default:
		return fmt.Errorf("no record code for action %T", action)
	}
	return nil
}

func (r *Reply) startRecord(code uint8) {
	r.buf = append(r.buf, code)
	r.count++
}

func (r *Reply) u32(v uint32)  { r.buf = binary.BigEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64)  { r.buf = binary.BigEndian.AppendUint64(r.buf, v) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }
