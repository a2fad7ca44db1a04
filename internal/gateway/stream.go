package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dunlintray/rules"
)

// Limits of transfers.
const (
	maxHeldBody      = 64 << 10               // bytes of a body that are held before it is streamed
	maxHoldTime      = 100 * time.Millisecond // after the header, for a body of unknown length
	maxWriteSize     = 32 << 10               // bytes written at once
	minClientRate    = 32 << 10               // bytes per second of a client's body
	minTransferRate  = 4 << 10                // bytes per second of all other transfers
	stallTimeout     = 10 * time.Second       // without a byte, and in total beyond the minimum rate
	uploadLingerTime = time.Second            // for a client that still sends its body to receive the response
)

var (
	errBodyTooLong     = errors.New("the body is too long")
	errTransferAborted = errors.New("transfer aborted: the client has its response or has disconnected")
	errBodyConsumed    = fmt.Errorf("%w: another attempt has read its body", errTransferAborted)
)

// pace limits how long the transfer waits for one of its sides: at most maxPause at a time,
// and in total at most grace plus the time that the transferred bytes take at minRate. Only
// the time spent waiting for that side counts. The total limit ends transfers to a peer that
// moves a byte now and then, but not to one that is merely slow.
type pace struct {
	maxPause, grace time.Duration
	minRate         float64 // bytes per second; 0: no total limit
	bytes           int64
	waited          time.Duration
}

// allowedWait returns how long the transfer may wait for the side now.
func (p *pace) allowedWait() time.Duration {
	if p.minRate == 0 {
		return p.maxPause
	}
	earned := time.Duration(float64(p.bytes) / p.minRate * float64(time.Second))
	return min(p.maxPause, p.grace+earned-p.waited)
}

// record adds the bytes moved by one read or write and the time spent waiting for them.
func (p *pace) record(bytes int, waited time.Duration) {
	p.bytes += int64(bytes)
	p.waited += waited
}

// bodyPrefix buffers the start of a body until the body is complete, the buffer is full, or
// the body is released for streaming. One goroutine fills it. The consumer of the body gets
// the buffered bytes, also while the buffer is being filled, and then reads the remainder
// from src itself.
type bodyPrefix struct {
	src      io.Reader
	capacity int // bytes to buffer

	mu        sync.Mutex
	changed   sync.Cond // on mu; signals new bytes and fillDone
	held      []byte
	err       error // of the last read; io.EOF at the end of the body
	streaming bool
	fillDone  bool // fill has returned or has nothing left to do
}

// newBodyPrefix returns an empty prefix of a body. A negative length means that the length is
// unknown.
func newBodyPrefix(src io.Reader, length int64, capacity int) *bodyPrefix {
	prefix := &bodyPrefix{src: src, capacity: capacity, fillDone: capacity == 0}
	prefix.changed.L = &prefix.mu
	if length >= 0 && length <= int64(capacity) {
		prefix.held = make([]byte, 0, length)
	}
	return prefix
}

// fill reads until the body is complete, the buffer is full, or the body has been released.
// It reports whether the body is complete, or the error of a failed read.
func (p *bodyPrefix) fill() (complete bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if len(p.held) == cap(p.held) && (cap(p.held) == 0 || len(p.held) < p.capacity) {
			grown := make([]byte, len(p.held), min(max(2*cap(p.held), 512), p.capacity))
			copy(grown, p.held)
			p.held = grown
		}
		room := p.held[len(p.held):cap(p.held)]
		p.mu.Unlock()
		n, err := p.src.Read(room)
		p.mu.Lock()
		p.held, p.err = p.held[:len(p.held)+n], err
		p.fillDone = err != nil || p.streaming || len(p.held) == p.capacity
		p.changed.Broadcast()
		switch {
		case err == io.EOF:
			return true, nil
		case p.fillDone:
			return false, err
		}
	}
}

// release marks the body for streaming. It returns false if the body is already being
// streamed or the buffer is no longer being filled.
func (p *bodyPrefix) release() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fillDone || p.streaming {
		return false
	}
	p.streaming = true
	return true
}

// released reports whether the body was marked for streaming.
func (p *bodyPrefix) released() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.streaming
}

// next returns the buffered bytes from offset on. It waits while there are none and the
// buffer is being filled. It returns nil once the remainder has to be read from src, with
// the error of the last read, if any.
func (p *bodyPrefix) next(offset int) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streaming = true
	for offset == len(p.held) && !p.fillDone {
		p.changed.Wait()
	}
	if offset < len(p.held) {
		return p.held[offset:], nil
	}
	return nil, p.err
}

// wait waits until the buffer is no longer being filled.
func (p *bodyPrefix) wait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streaming = true
	for !p.fillDone {
		p.changed.Wait()
	}
}

// discard frees the buffered bytes, which are not needed any more.
func (p *bodyPrefix) discard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = nil
}

// clientBody reads the body of a request. It fails if the client sends nothing for too long
// or sends too slowly, since the connection takes a place that other clients need.
type clientBody struct {
	body         io.Reader
	length       int64 // bytes; -1 if unknown
	maxLength    int64 // bytes; 0: unlimited
	control      *http.ResponseController
	pace         pace
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
		pace: pace{maxPause: readTimeout, grace: readTimeout, minRate: minClientRate, waited: time.Since(requestStart(r))}}
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
	if b.ended || b.pace.bytes == b.length {
		return b.body.Read(p)
	}
	start := time.Now()
	deadline := start.Add(b.pace.allowedWait())
	if !b.deadline.IsZero() {
		deadline = b.deadline
	}
	b.control.SetReadDeadline(deadline)
	n, err := b.readAvailable(p)
	b.ended = err != nil
	b.pace.record(n, time.Since(start))
	b.total.Add(int64(n))
	if b.maxLength > 0 && b.pace.bytes > b.maxLength {
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
	return b.conn.bodyBytes() - b.earlierBytes - uint64(b.pace.bytes)
}

// upload is a request body that is streamed to a backend while it arrives. The attempt that
// sends it reads it; the client's handler may stop that.
type upload struct {
	request       *http.Request // of the client; has the trailers once the body is complete
	length        int64         // bytes; -1 if unknown
	clientTimeout time.Duration // counts from the last byte of the body
	onConsumed    func()        // called before the first read of remainder
	onComplete    func(responseDeadline time.Time)
	budget        *budget
	prefix        *bodyPrefix

	readMu    sync.Mutex // held while remainder is read
	remainder *clientBody
	window    window

	mu               sync.Mutex
	reservedMemory   int       // bytes reserved from the budget for prefix
	sender           *attempt  // attempt that sends the body
	reader           *attempt  // attempt that reads remainder; nil if it has not been read
	closed           bool      // by the client's handler
	err              error     // of the last read of the body; io.EOF at its end
	responseDeadline time.Time // set once the body is complete
}

// assign makes an attempt the sender of the body, from its start. It returns errBodyConsumed if the start
// is gone, since another attempt has read the remainder. Attempts that ended earlier may still run: from
// here on they can't read the remainder.
func (u *upload) assign(sender *attempt) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.reader != nil {
		return errBodyConsumed
	}
	u.sender = sender
	return nil
}

// unassign takes the body from the attempt, if it is the sender, and returns the error of the client's
// side, if any.
func (u *upload) unassign(sender *attempt) (clientErr error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sender == sender {
		u.sender = nil
	}
	if u.err != io.EOF && u.err != errTransferAborted {
		clientErr = u.err
	}
	return clientErr
}

// next returns the next piece of the body for a sender that has sent offset bytes of its
// prefix. The remainder can be read only once.
func (u *upload) next(sender *attempt, offset int) (piece []byte, err error) {
	if piece, err = u.prefix.next(offset); piece != nil {
		return piece, nil
	}
	u.readMu.Lock()
	defer u.readMu.Unlock()
	if ended := u.beginRead(sender, err == nil); ended != nil {
		return nil, ended
	}
	if err == nil {
		var n int
		piece = u.window.buffer()
		n, err = u.remainder.Read(piece)
		u.window.recordUse(n)
		piece = piece[:n]
	}
	return piece, u.recordEnd(err)
}

// beginRead returns an error if the sender may not continue. Before the first read of the
// remainder it discards the prefix.
func (u *upload) beginRead(sender *attempt, willRead bool) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.reader != nil && u.reader != sender:
		return errBodyConsumed // also at the end of the body, most of which the sender has not seen
	case u.err != nil:
		return u.err
	case u.closed || u.sender != sender:
		return errTransferAborted
	case willRead && u.reader == nil:
		u.reader = sender
		u.onConsumed()
		u.prefix.discard()
		u.budget.release(u.reservedMemory)
		u.reservedMemory = 0
	}
	return nil
}

// recordEnd records the error that ended the body, if any, and returns the error for the
// sender.
func (u *upload) recordEnd(err error) error {
	if err == nil {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err = err; u.closed && err != io.EOF {
		u.err = errTransferAborted // the handler has stopped the reading
	}
	if err == io.EOF {
		u.responseDeadline = u.remainder.arrival.lastByteTime().Add(u.clientTimeout - seconds(responseMargin))
		u.onComplete(u.responseDeadline)
	}
	return u.err
}

// remaining returns a lower bound of the client's remaining time, for the backend: the whole
// client timeout while the body is still arriving.
func (u *upload) remaining() time.Duration { return u.remainder.arrival.remaining(u.clientTimeout) }

// complete reports whether the whole body has been read. A nil upload, of a body that was
// held completely, is complete.
func (u *upload) complete() bool {
	if u == nil {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err == io.EOF
}

// close stops the reading of a body whose client has its response. It discards what the
// client still sends for a while: closing a connection with unread bytes would reset it and
// the response could be lost.
func (u *upload) close(control *http.ResponseController) {
	u.mu.Lock()
	u.closed = true
	u.mu.Unlock()
	if u.complete() || control.Flush() != nil {
		return
	}
	control.SetReadDeadline(time.Now()) // interrupts a read in progress
	u.prefix.wait()
	u.readMu.Lock()
	defer u.readMu.Unlock()
	u.remainder.deadline, u.remainder.ended = time.Now().Add(uploadLingerTime), false
	io.Copy(io.Discard, u.remainder)
}

// responseSent reports whether the client has its response.
func (u *upload) responseSent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.closed
}

// releaseMemory returns the memory of the upload to the budget, at the end of the request.
func (u *upload) releaseMemory() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.budget.release(u.reservedMemory + minWindow)
	u.reservedMemory = 0
}

// releaseWindow releases the window if the sender has used it. The sender writes from it
// until its end.
func (u *upload) releaseWindow(sender *attempt) {
	u.readMu.Lock()
	defer u.readMu.Unlock()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.reader == sender {
		u.window.release()
	}
}

// uploadStatus returns the status for a client whose body was incomplete.
func uploadStatus(err error) int {
	switch tooSlow := errors.Is(err, os.ErrDeadlineExceeded); {
	case errors.Is(err, errBodyTooLong):
		return http.StatusRequestEntityTooLarge
	case tooSlow:
		return http.StatusRequestTimeout
	case errors.Is(err, errNoBodyMemory):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// download is a response body that is streamed to the client. The attempt keeps the backend
// connection until the client's handler, or the loop, reports the outcome.
type download struct {
	prefix         *bodyPrefix
	reservedMemory int // bytes reserved from the budget for prefix
	body           io.Reader
	chunked        *chunkedReader // body, if it is chunked; otherwise nil
	length         int64          // bytes; -1 if unknown
	conn           *backendConn
	window         window
	metrics        *metrics
	done           chan rules.Outcome // has room for one

	mu      sync.Mutex
	claimed bool // the owner is set; only the owner reports the outcome
}

// claim makes the caller the owner of the download. It returns false if it has one already.
func (d *download) claim() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := !d.claimed
	d.claimed = true
	return first
}

// trailers returns the trailers to forward after a complete body, or nil.
func (d *download) trailers() http.Header {
	if d.chunked == nil {
		return nil
	}
	return forwardableTrailers(d.chunked.trailer)
}

// discard ends a download that has no owner. An owner ends the download itself, since its
// client has disconnected.
func (d *download) discard() {
	if d.claim() {
		d.done <- rules.Cancelled
	}
}

// copyTo copies the body to the client, each piece as it arrives. An outcome of Cancelled
// means that the client's side failed, and Broken that the backend's did.
func (d *download) copyTo(w http.ResponseWriter, control *http.ResponseController) (rules.Outcome, error) {
	defer d.window.release()
	backendPace := pace{maxPause: stallTimeout, grace: stallTimeout} // no minimum rate: its work is done
	clientPace := pace{maxPause: stallTimeout, grace: stallTimeout, minRate: minTransferRate}
	d.conn.SetReadDeadline(time.Now().Add(stallTimeout)) // for the goroutine that fills the prefix
	for offset := 0; ; {
		piece, err := d.prefix.next(offset)
		fromPrefix := piece != nil // the prefix may still be being filled
		if offset += len(piece); !fromPrefix && err == nil {
			piece, err = d.readNext(&backendPace)
		}
		for len(piece) > 0 {
			n := min(len(piece), maxWriteSize)
			start := time.Now()
			control.SetWriteDeadline(start.Add(clientPace.allowedWait()))
			_, writeErr := w.Write(piece[:n])
			if piece = piece[n:]; writeErr == nil && len(piece) == 0 && err == nil && (fromPrefix || !d.hasBuffered()) {
				writeErr = control.Flush()
			}
			if writeErr != nil {
				return rules.Cancelled, writeErr // the client has disconnected or does not read
			}
			clientPace.record(n, time.Since(start))
			d.metrics.downloads.bytes.Add(int64(n))
		}
		switch {
		case err == io.EOF:
			control.SetWriteDeadline(time.Now().Add(writeTimeout)) // the last one may be over by now
			return rules.Served, nil
		case err != nil:
			return rules.Broken, err
		}
	}
}

// hasBuffered reports whether the next piece can be read without waiting.
func (d *download) hasBuffered() bool {
	if d.chunked != nil {
		return d.chunked.ready()
	}
	return d.conn.reader.Buffered() > 0
}

// readNext waits for the next piece. While it waits, the download takes no memory beyond the
// connection's own.
func (d *download) readNext(backendPace *pace) ([]byte, error) {
	if d.reservedMemory > 0 {
		d.prefix.discard()
		d.metrics.bodyBudget.release(d.reservedMemory)
		d.reservedMemory = 0
	}
	start := time.Now()
	d.conn.SetReadDeadline(start.Add(backendPace.allowedWait()))
	if !d.hasBuffered() {
		d.window.release()
		if err := d.conn.awaitReadable(); err != nil {
			return nil, err
		}
	}
	buffer := d.window.buffer()
	n, err := d.body.Read(buffer)
	d.window.recordUse(n)
	backendPace.record(n, time.Since(start))
	return buffer[:n], err
}
