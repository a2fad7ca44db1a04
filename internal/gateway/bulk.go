package gateway

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"linnetbend/rules"
)

// Bodies up to mostBody are held whole, so that an attempt can be made again.
// Longer ones run through the gateway in pieces, at the pace of the slower side.
const (
	mostLong   = 32 << 20 // bytes of a body that comes in pieces
	pieceSize  = 32 << 10
	bulkShare  = 8                // a part of the memory for the long bodies of each direction
	bulkMemory = 128 << 10        // that one takes, its kept start and the connections' own buffers included
	bulkWait   = 2 * time.Second  // for memory
	stall      = 10 * time.Second // without a byte, either way, in the middle of a body
	leastRate  = 32 << 10         // bytes a second; a client slower than this over all of its body is given up
	linger     = time.Second      // for a client that still writes to hear its answer
)

var (
	errCutShort = errors.New("the client has its answer")
	errCrowded  = errors.New("no memory for a long body")
)

// budget bounds the memory of the long bodies of one direction. Each direction
// has its own: a request that waits for the memory of its answer would else hold
// what the answers before it need.
type budget chan struct{}

func newBudget(memoryMB int) budget {
	return make(budget, max(memoryMB<<20/bulkShare/bulkMemory, 1))
}

func (b budget) take(ctx context.Context) error {
	select {
	case b <- struct{}{}:
		return nil
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, bulkWait)
	defer cancel()
	select {
	case b <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errCrowded
	}
}

func (b budget) give() { <-b }

var pieces = sync.Pool{New: func() any { return new([pieceSize]byte) }}

// clientBody reads a body as long as it comes on. Danger: a peer that sends
// nothing holds a place that clients need, and so does one that sends a byte now
// and then; a client that is slow sends at a steady rate, in pieces of any size.
type clientBody struct {
	body    io.Reader
	length  int64 // or -1
	control *http.ResponseController
	since   time.Time // when the request may have begun
	latest  time.Time // not to be read after this; zero: no such time
	got     int64
	over    bool
}

func (b *clientBody) Read(p []byte) (int, error) {
	// Danger: after the last byte the server itself listens for the client to
	// leave, and a time-out of ours would pass for that.
	if b.over || b.got == b.length {
		return b.body.Read(p)
	}
	now := time.Now()
	end := b.since.Add(readTimeout + time.Duration(float64(b.got)/leastRate*float64(time.Second)))
	if most := now.Add(readTimeout); end.After(most) {
		end = most
	}
	if !b.latest.IsZero() {
		end = b.latest
	}
	b.control.SetReadDeadline(end)
	n, err := b.body.Read(p)
	b.over = err != nil
	if b.got += int64(n); b.got > mostLong {
		return 0, errTooLong
	}
	return n, err
}

// upload is the rest of a long body, after the part that is kept. The attempt
// that takes it reads it; the client's handler may end that.
type upload struct {
	rest   *clientBody
	length int64         // of the whole body, or -1
	left   time.Duration // the client's patience, from the last byte on
	whole  func(until time.Time)

	mu     sync.Mutex
	used   bool // the rest has been read from
	err    error
	until  time.Time // for an answer, once the body is whole
	ended  atomic.Bool
	closed atomic.Bool // by the client's handler
}

// reader gives the kept part and then the rest. The rest comes only once. moved
// is called after each piece.
func (u *upload) reader(kept []byte, moved func()) io.Reader {
	return &uploadReader{u: u, kept: kept, moved: moved}
}

type uploadReader struct {
	u     *upload
	kept  []byte
	moved func()
}

func (r *uploadReader) Read(p []byte) (int, error) {
	if len(r.kept) > 0 {
		n := copy(p, r.kept)
		r.kept = r.kept[n:]
		return n, nil
	}
	u := r.u
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed.Load() && u.err == nil {
		u.err = errCutShort
	}
	if u.err != nil {
		return 0, u.err
	}
	u.used = true
	n, err := u.rest.Read(p)
	r.moved()
	if err == nil {
		return n, nil
	}
	if u.err = err; err == io.EOF {
		u.ended.Store(true)
		u.until = time.Now().Add(u.left - seconds(answerMargin))
		u.whole(u.until)
	}
	return n, err
}

// over tells whether nothing more of the body is to come, as of one that was
// short.
func (u *upload) over() bool { return u == nil || u.ended.Load() }

// close ends the reading of a body whose client has its answer, and gives a
// client that still writes time to hear it: what is unread when a connection
// closes takes the answer with it.
func (u *upload) close(control *http.ResponseController) {
	if u.over() || control.Flush() != nil {
		return
	}
	u.closed.Store(true)
	control.SetReadDeadline(time.Now()) // for an attempt that reads
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != io.EOF {
		u.rest.latest = time.Now().Add(linger)
		io.Copy(io.Discard, u.rest)
	}
}

// failed returns why the client's side of the body broke.
func (u *upload) failed() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == io.EOF || u.err == errCutShort {
		return nil
	}
	return u.err
}

// spent tells whether the body can't be sent once more.
func (u *upload) spent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.used
}

// uploadStatus is the answer to a client whose body did not come whole.
func uploadStatus(err error) int {
	switch tooSlow := errors.Is(err, os.ErrDeadlineExceeded); {
	case errors.Is(err, errTooLong):
		return http.StatusRequestEntityTooLarge
	case tooSlow:
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// download is a long answer whose start has come. The attempt holds the
// connection until the client's handler, or the loop, says how it went.
type download struct {
	body io.Reader
	conn *backendConn
	end  chan rules.Outcome // has room for one
}

func newDownload(body io.Reader, conn *backendConn) *download {
	return &download{body: body, conn: conn, end: make(chan rules.Outcome, 1)}
}

// finish tells the attempt how the answer went. The first word counts.
func (d *download) finish(o rules.Outcome) {
	select {
	case d.end <- o:
	default:
	}
}

// pass copies the answer to the client, each piece as it comes.
func (d *download) pass(w http.ResponseWriter, control *http.ResponseController) rules.Outcome {
	piece := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(piece)
	for {
		d.conn.SetReadDeadline(time.Now().Add(stall))
		n, err := d.body.Read(piece[:])
		if n > 0 {
			control.SetWriteDeadline(time.Now().Add(stall))
			if _, err := w.Write(piece[:n]); err != nil {
				return rules.Cancelled // the client has left
			}
			if err == nil && d.conn.r.Buffered() == 0 && control.Flush() != nil {
				return rules.Cancelled
			}
		}
		switch {
		case err == io.EOF:
			return rules.Served
		case err != nil:
			return rules.Broken
		}
	}
}

// noLimit is what an answer may take once its head has been read: what is held
// of it is bounded, and its length is not.
const noLimit = math.MaxInt64
