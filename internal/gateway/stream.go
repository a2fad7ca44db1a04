package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dunlintray/rules"
)

// When a body is let go, and how long a peer may keep one waiting.
const (
	maxHeldBody      = 64 << 10               // bytes of a body that are held at most
	maxHoldTime      = 100 * time.Millisecond // after its head, a body whose end is not in sight
	maxWriteSize     = 32 << 10               // bytes that are written at once at most
	minClientRate    = 32 << 10               // bytes a second; least of a client's body
	minTransferRate  = 4 << 10                // and of all that is not a client's body
	stallTimeout     = 10 * time.Second       // without a byte, and all waits that no byte pays for
	uploadLingerTime = time.Second            // for a client that still writes to hear its answer
)

var (
	errBodyTooLong     = errors.New("the body is too long")
	errTransferAborted = errors.New("the client has its answer")
)

// pace bounds how long one side of a transfer may keep it waiting: not longer
// than a pause at once, nor, over all, than a grace and the time that its bytes
// take at a least rate. A peer that sends a byte now and then is told from one
// that is slow. Only time spent waiting for that side counts.
type pace struct {
	maxPause, grace time.Duration
	minRate         float64 // bytes a second; 0: none is asked for
	bytes           int64
	waited          time.Duration
}

// wait is how long the side may be waited for now.
func (p *pace) allowedWait() time.Duration {
	if p.minRate == 0 {
		return p.maxPause
	}
	earned := time.Duration(float64(p.bytes) / p.minRate * float64(time.Second))
	return min(p.maxPause, p.grace+earned-p.waited)
}

func (p *pace) record(bytes int, waited time.Duration) {
	p.bytes += int64(bytes)
	p.waited += waited
}

// intake holds the start of a body until it is whole, has filled the room for
// it, or is let go. One goroutine fills it. Whoever takes the body gets what is
// held, also while it is filled, and reads the rest itself after that.
type bodyPrefix struct {
	src      io.Reader
	capacity int // bytes to hold

	mu        sync.Mutex
	changed   sync.Cond // on mu: something has come, or nobody fills it any more
	held      []byte
	err       error // of the last read; io.EOF at its end
	streaming bool
	fillDone  bool // nobody fills it any more
}

// newIntake has room for a body, which may have a length or, below 0, none.
func newBodyPrefix(src io.Reader, length int64, most int) *bodyPrefix {
	in := &bodyPrefix{src: src, capacity: most, fillDone: most == 0}
	in.changed.L = &in.mu
	if length >= 0 && length <= int64(most) {
		in.held = make([]byte, 0, length)
	}
	return in
}

// fill reads until the body need not be held any more. It tells whether the body
// is whole, and why not if its reading has failed.
func (in *bodyPrefix) fill() (complete bool, err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for {
		if len(in.held) == cap(in.held) && (cap(in.held) == 0 || len(in.held) < in.capacity) {
			grown := make([]byte, len(in.held), min(max(2*cap(in.held), 512), in.capacity))
			copy(grown, in.held)
			in.held = grown
		}
		room := in.held[len(in.held):cap(in.held)]
		in.mu.Unlock()
		n, err := in.src.Read(room)
		in.mu.Lock()
		in.held, in.err = in.held[:len(in.held)+n], err
		in.fillDone = err != nil || in.streaming || len(in.held) == in.capacity
		in.changed.Broadcast()
		switch {
		case err == io.EOF:
			return true, nil
		case in.fillDone:
			return false, err
		}
	}
}

// release lets the body go, if it is still held. From then on it is no more
// than what it was: a start that goes on.
func (in *bodyPrefix) release() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.fillDone || in.streaming {
		return false
	}
	in.streaming = true
	return true
}

// released tells whether it was let go before it was whole or full.
func (in *bodyPrefix) released() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.streaming
}

// next returns what is held from at on; it waits while that is nothing and more
// may come. It returns nothing once the rest has to be read from src.
func (in *bodyPrefix) next(at int) ([]byte, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.streaming = true
	for at == len(in.held) && !in.fillDone {
		in.changed.Wait()
	}
	if at < len(in.held) {
		return in.held[at:], nil
	}
	return nil, in.err
}

// wait returns once nobody fills it.
func (in *bodyPrefix) wait() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.streaming = true
	for !in.fillDone {
		in.changed.Wait()
	}
}

// forget frees what is held, once it has gone on for good.
func (in *bodyPrefix) discard() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.held = nil
}

// clientBody reads the body of a request as long as it comes on. Danger: a peer
// that sends nothing holds a place that clients need, and so does one that sends
// a byte now and then.
type clientBody struct {
	body         io.Reader
	length       int64 // or -1
	maxLength    int64 // bytes; 0: any number
	control      *http.ResponseController
	pace         pace
	conn         *clientConn // nil: it does not tell what has come
	earlierBytes uint64      // bytes of earlier bodies on the connection
	arrival      bodyArrival
	deadline     time.Time // not to be read after this; zero: no such time
	ended        bool
	total        *atomic.Int64 // bytes of all bodies
}

func newClientBody(r *http.Request, control *http.ResponseController, most int64, total *atomic.Int64) *clientBody {
	b := &clientBody{body: r.Body, length: r.ContentLength, maxLength: most, control: control, total: total,
		// What a slow head has taken of the time is gone.
		pace: pace{maxPause: readTimeout, grace: readTimeout, minRate: minClientRate, waited: time.Since(requestStart(r))}}
	b.conn = connOf(r)
	b.arrival.start(b.conn)
	if b.conn != nil {
		b.earlierBytes = b.conn.earlierBodyBytes()
	}
	return b
}

// Read implements io.Reader. It notes when the end of the body came: what a read had to
// wait for was sent no sooner than the read returned.
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

func (b *clientBody) readPaced(p []byte) (int, error) {
	// Danger: after the last byte the server itself listens for the client to
	// leave, and a time-out of ours would pass for that.
	if b.ended || b.pace.bytes == b.length {
		return b.body.Read(p)
	}
	before := time.Now()
	end := before.Add(b.pace.allowedWait())
	if !b.deadline.IsZero() {
		end = b.deadline
	}
	b.control.SetReadDeadline(end)
	n, err := b.readAvailable(p)
	b.ended = err != nil
	b.pace.record(n, time.Since(before))
	b.total.Add(int64(n))
	if b.maxLength > 0 && b.pace.bytes > b.maxLength {
		b.ended = true
		return 0, errBodyTooLong
	}
	return n, err
}

// readSome waits for a byte and returns what has come. Danger: net/http waits for
// the whole of a chunk, or for as much of it as there is room for.
func (b *clientBody) readAvailable(p []byte) (int, error) {
	if b.conn == nil || b.length >= 0 || len(p) < 2 {
		return b.body.Read(p)
	}
	if there := b.available(); there > 0 {
		return b.body.Read(p[:min(uint64(len(p)), there)])
	}
	n, err := b.body.Read(p[:1])
	if err != nil || n == 0 {
		return n, err
	}
	there := b.available() // this byte among it
	if there <= 1 {
		return n, nil
	}
	more, err := b.body.Read(p[1:min(uint64(len(p)), there)])
	return n + more, err
}

// there is how many bytes of the body have come and have not been read.
func (b *clientBody) available() uint64 {
	return b.conn.bodyBytes() - b.earlierBytes - uint64(b.pace.bytes)
}

// upload is a body that goes on to a backend while it comes. The attempt that
// takes it reads it; the client's handler may end that.
type upload struct {
	request       *http.Request // of the client; it has the trailers, at the end
	length        int64         // of the whole body, or -1
	clientTimeout time.Duration // the client's patience, from the last byte on
	onComplete    func(until time.Time)
	budget        *budget
	prefix        *bodyPrefix

	readMu    sync.Mutex // held by who reads the rest
	remainder *clientBody
	window    window

	mu               sync.Mutex
	memory           int       // of the budget, for what is held
	sender           *attempt  // that has the body
	reader           *attempt  // that reads the rest; nil: it has not been read from
	closed           bool      // by the client's handler
	err              error     // that the body ended with
	responseDeadline time.Time // for an answer, once the body is whole
}

// take makes an attempt the one that reads the body, from its start.
func (u *upload) assign(a *attempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sender = a
}

// leave takes the body from an attempt. It tells whether the body can't be sent
// once more, and why the client's side broke, if it did.
func (u *upload) unassign() (spent bool, cut error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sender = nil
	if u.err != io.EOF && u.err != errTransferAborted {
		cut = u.err
	}
	return u.reader != nil, cut
}

// next returns the next piece of the body for an attempt that has had so many
// bytes of its start. What is not held comes only once.
func (u *upload) next(a *attempt, at int) (piece []byte, err error) {
	if piece, err = u.prefix.next(at); piece != nil {
		return piece, nil
	}
	u.readMu.Lock()
	defer u.readMu.Unlock()
	if over := u.beginRead(a, err == nil); over != nil {
		return nil, over
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

// begin tells whether an attempt may read on. What is held is of no use any more
// once the rest is read.
func (u *upload) beginRead(a *attempt, reads bool) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.err != nil:
		return u.err
	case u.closed || u.sender != a:
		return errTransferAborted
	case reads && u.reader == nil:
		u.reader = a
		u.prefix.discard()
		u.budget.release(u.memory)
		u.memory = 0
	}
	return nil
}

// ended takes note of what the reading of the body ended with, if it did.
func (u *upload) recordEnd(err error) error {
	if err == nil {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err = err; u.closed && err != io.EOF {
		u.err = errTransferAborted // by the handler's own hand
	}
	if err == io.EOF {
		u.responseDeadline = u.remainder.arrival.lastByteTime().Add(u.clientTimeout - seconds(responseMargin))
		u.onComplete(u.responseDeadline)
	}
	return u.err
}

// timeLeft returns what the client has left at least, to be told to a backend: all of its
// patience while the body still comes.
func (u *upload) remaining() time.Duration { return u.remainder.arrival.remaining(u.clientTimeout) }

// over tells whether nothing more of the body is to come, as of one that was
// held whole.
func (u *upload) complete() bool {
	if u == nil {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err == io.EOF
}

// close ends the reading of a body whose client has its answer, and gives a
// client that still writes time to hear it: what is unread when a connection
// closes takes the answer with it.
func (u *upload) close(control *http.ResponseController) {
	u.mu.Lock()
	u.closed = true
	u.mu.Unlock()
	if u.complete() || control.Flush() != nil {
		return
	}
	control.SetReadDeadline(time.Now()) // for whoever reads
	u.prefix.wait()
	u.readMu.Lock()
	defer u.readMu.Unlock()
	u.remainder.deadline, u.remainder.ended = time.Now().Add(uploadLingerTime), false
	io.Copy(io.Discard, u.remainder)
}

// answered tells whether the client has its answer.
func (u *upload) responseSent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.closed
}

// free gives back the memory of what is held, at the end of the request.
func (u *upload) releaseMemory() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.budget.release(u.memory + minWindow)
	u.memory = 0
}

// done gives the window back, if it is the attempt's, which writes from it to
// the last.
func (u *upload) releaseWindow(a *attempt) {
	u.readMu.Lock()
	defer u.readMu.Unlock()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.reader == a {
		u.window.release()
	}
}

// uploadStatus is the answer to a client whose body did not come whole.
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

// download is an answer that is let go. The attempt holds the connection until
// the client's handler, or the loop, says how it went.
type download struct {
	prefix         *bodyPrefix
	reservedMemory int // of the budget, for what is held
	body           io.Reader
	chunked        *chunkedReader // that body is, or nil
	length         int64          // or -1
	conn           *backendConn
	window         window
	metrics        *metrics
	done           chan rules.Outcome // has room for one

	mu      sync.Mutex
	claimed bool // by the client's handler, which alone ends it then
}

// take makes the client's handler its owner, unless it was dropped.
func (d *download) claim() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := !d.claimed
	d.claimed = true
	return first
}

// trailers returns the headers behind the whole body, or nil.
func (d *download) trailers() http.Header {
	if d.chunked == nil {
		return nil
	}
	return forwardableTrailers(d.chunked.trailer)
}

// drop ends an answer that nobody has taken. One that was taken ends by itself,
// as its client has left.
func (d *download) discard() {
	if d.claim() {
		d.done <- rules.Cancelled
	}
}

// pass copies the answer to the client, each piece as it comes, and tells who
// broke it if it did not come whole.
func (d *download) copyTo(w http.ResponseWriter, control *http.ResponseController) (rules.Outcome, error) {
	defer d.window.release()
	from := pace{maxPause: stallTimeout, grace: stallTimeout}
	to := pace{maxPause: stallTimeout, grace: stallTimeout, minRate: minTransferRate}
	if d.length >= 0 {
		from.minRate = minTransferRate // one without a length may be of events, which are rare
	}
	d.conn.SetReadDeadline(time.Now().Add(stallTimeout)) // for who fills the start
	for at := 0; ; {
		piece, err := d.prefix.next(at)
		held := piece != nil // somebody else may be reading
		if at += len(piece); !held && err == nil {
			piece, err = d.readNext(&from)
		}
		for len(piece) > 0 {
			n := min(len(piece), maxWriteSize)
			before := time.Now()
			control.SetWriteDeadline(before.Add(to.allowedWait()))
			_, broke := w.Write(piece[:n])
			if piece = piece[n:]; broke == nil && len(piece) == 0 && err == nil && (held || !d.hasBuffered()) {
				broke = control.Flush()
			}
			if broke != nil {
				return rules.Cancelled, broke // the client has left, or does not read
			}
			to.record(n, time.Since(before))
			d.metrics.downloads.bytes.Add(int64(n))
		}
		switch {
		case err == io.EOF:
			return rules.Served, nil
		case err != nil:
			return rules.Broken, err
		}
	}
}

// more tells whether the next piece is there already.
func (d *download) hasBuffered() bool {
	if d.chunked != nil {
		return d.chunked.ready()
	}
	return d.conn.reader.Buffered() > 0
}

// read waits for the next piece. While there is none, it takes no memory but the
// connection's own.
func (d *download) readNext(from *pace) ([]byte, error) {
	if d.reservedMemory > 0 {
		d.prefix.discard()
		d.metrics.bodyBudget.release(d.reservedMemory)
		d.reservedMemory = 0
	}
	before := time.Now()
	d.conn.SetReadDeadline(before.Add(from.allowedWait()))
	if !d.hasBuffered() {
		d.window.release()
		if err := d.conn.awaitReadable(); err != nil {
			return nil, err
		}
	}
	buf := d.window.buffer()
	n, err := d.body.Read(buf)
	d.window.recordUse(n)
	from.record(n, time.Since(before))
	return buf[:n], err
}
