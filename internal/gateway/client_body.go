package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"dunlintray/internal/gateway/body"
)

// clientBody reads the body of a request. It fails if the client sends nothing for too long
// or sends too slowly, since the connection takes a place that other clients need.
type clientBody struct {
	body         io.Reader
	length       int64 // bytes; -1 if unknown
	maxLength    int64 // bytes; 0: unlimited
	control      *http.ResponseController
	pace         body.Pace
	conn         *clientConn // nil if the connection does not count body bytes
	earlierBytes uint64      // bytes of earlier bodies on the connection
	arrival      bodyArrival
	deadline     time.Time // replaces the deadline set by pace; zero: none
	ended        bool
	total        *atomic.Int64 // metric: bytes of all bodies
}

// newClientBody returns a reader of the body of r, whose header was read at the given time. It adds
// the bytes it reads to total.
func newClientBody(r *http.Request, control *http.ResponseController, headerReadAt time.Time, maxLength int64, total *atomic.Int64) *clientBody {
	body := &clientBody{body: r.Body, length: r.ContentLength, maxLength: maxLength, control: control, total: total,
		// The time that the header took counts too.
		pace: body.Pace{MaxPause: readTimeout, Grace: readTimeout, MinRate: minClientRate, Waited: time.Since(requestStart(r))}}
	body.conn = connOf(r)
	body.arrival.start(body.conn, r.ContentLength, headerReadAt)
	if body.conn != nil {
		body.earlierBytes = body.conn.earlierBodyBytes()
	}
	return body
}

// Read implements io.Reader. It also records when the body arrived: bytes that a read had to
// wait for count as sent when the read returned.
func (b *clientBody) Read(p []byte) (int, error) {
	missing := b.arrival.checkMissing()
	n, err := b.readPaced(p)
	if missing {
		b.arrival.markIncomplete()
	}
	if err == io.EOF {
		b.arrival.markComplete()
	}
	return n, err
}

// readPaced reads with the deadline that the pace allows, and enforces maxLength.
func (b *clientBody) readPaced(p []byte) (int, error) {
	// After the last byte net/http reads in order to notice a disconnect, and would take
	// an expired read deadline for one.
	if b.ended || b.pace.Bytes() == b.length {
		return b.body.Read(p)
	}
	start := time.Now()
	deadline := start.Add(b.pace.AllowedWait())
	if !b.deadline.IsZero() {
		deadline = b.deadline
	}
	b.control.SetReadDeadline(deadline)
	n, err := b.readAvailable(p)
	b.ended = err != nil
	b.pace.Record(n, time.Since(start))
	b.total.Add(int64(n))
	if b.maxLength > 0 && b.pace.Bytes() > b.maxLength {
		b.ended = true
		return 0, errBodyTooLong
	}
	return n, err
}

// readAvailable waits for a byte and returns the bytes that have arrived. A plain read would
// wait, in net/http, for the end of the chunk or until p is full.
func (b *clientBody) readAvailable(p []byte) (int, error) {
	if b.conn == nil || b.length >= 0 || len(p) < 2 {
		return b.body.Read(p)
	}
	if available := b.available(); available > 0 {
		return b.body.Read(p[:min(uint64(len(p)), available)])
	}
	n, err := b.body.Read(p[:1])
	if err != nil || n == 0 {
		return n, err
	}
	available := b.available() // includes this byte
	if available <= 1 {
		return n, nil
	}
	more, err := b.body.Read(p[1:min(uint64(len(p)), available)])
	return n + more, err
}

// available returns the number of bytes of the body that have arrived and are unread.
func (b *clientBody) available() uint64 {
	return b.conn.bodyBytes() - b.earlierBytes - uint64(b.pace.Bytes())
}
