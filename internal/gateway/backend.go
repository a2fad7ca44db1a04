package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunlintray/rules"
)

const (
	mostUnread   = 64 << 10               // bytes of an answer that is not passed on, which are read for its connection's sake
	mostHead     = 64 << 10               // bytes of an answer's head
	mostInterim  = 8                      // 1xx answers before the real one
	idleMargin   = time.Second            // a connection is not used again so close to the backend's limit
	sweepGap     = 500 * time.Millisecond // between searches for connections idle too long
	lastMoment   = 20 * time.Millisecond  // for a sender to notice that all has gone
	notRunHeader = "X-Unprocessed"
	leftHeader   = "X-Time-Left-Ms"
	loadHeader   = "X-Backend-Load"
	costHeader   = "X-Cost-Units"
)

// settleTime is how long a connection rests behind an answer: what a backend sends
// then belongs to no request. Tests whose backends send nothing late shorten it.
var settleTime = 50 * time.Millisecond

// result is what became of an attempt.
type result struct {
	outcome rules.Outcome
	err     error   // why, where no whole answer came
	answer  answer  // if served
	units   float64 // that the request really took from the quota; 0: not told
	cut     error   // why the client's body did not come whole; nothing has run then
	spent   bool    // the client's body can't be sent again
}

// attempt is one sending of a request to a backend. The loop owns all but what
// mu guards.
type attempt struct {
	x        *exchange
	number   int
	backend  rules.BackendID
	sent     float64
	deadline float64
	until    time.Time // the deadline for sockets
	before   time.Time // its last byte must not be written later; zero: whenever
	ended    bool
	outcome  rules.Outcome // once ended
	took     float64
	err      error
	rest     *download // an answer that is on its way to the client

	// begun tells the loop that an answer is let go, which tells the client.
	begun func(answer) bool
	// interim tells it of a 1xx.
	interim func(answer)

	last atomic.Bool // the end of a streamed body is about to be written

	ctx    context.Context // of the dial
	cancel context.CancelFunc

	mu     sync.Mutex
	conn   *backendConn
	called bool // off
}

// callOff ends the attempt's sending and waiting. Once it has returned, no byte
// of the request leaves any more: a dial that is up later finds it called off,
// and a connection in use is closed.
func (a *attempt) callOff() {
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.called = true
	if a.conn != nil {
		a.conn.Close()
	}
}

// callOffDial calls an attempt off that has no connection yet.
func (a *attempt) callOffDial() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil && a.cancel != nil {
		a.called = true
		a.cancel()
	}
}

// writeBy is when writing has to end that may go on until end.
func (a *attempt) writeBy(end time.Time) time.Time {
	if !a.before.IsZero() && (end.IsZero() || a.before.Before(end)) {
		return a.before
	}
	return end
}

// hold takes a connection for the attempt, unless it was called off.
func (a *attempt) hold(c *backendConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.called {
		a.conn = c
	}
	return !a.called
}

// release gives the connection up. It tells whether it may be used again.
func (a *attempt) release() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.called
}

// backendConn is one connection to a backend, for one request at a time.
type backendConn struct {
	net.Conn
	raw  syscall.RawConn // for a look at the socket; nil where it has none
	look func(uintptr) bool
	seen error             // by the last look
	left *io.LimitedReader // what an answer may still take, headers among it
	r    *bufio.Reader     // on left, which is on the connection
	w    *bufio.Writer
	read framing
	home *target
	idle time.Time     // since when
	uses int           // requests so far
	rest time.Duration // idle before the last use
}

// Read reads along, for answers that could be read in two ways.
func (c *backendConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.read(p[:n])
	return n, err
}

func newBackendConn(conn net.Conn, home *target) *backendConn {
	c := &backendConn{Conn: conn, w: bufio.NewWriter(conn), home: home}
	c.left = &io.LimitedReader{R: c}
	c.r = bufio.NewReader(c.left)
	if s, ok := conn.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	c.look = func(fd uintptr) bool {
		c.seen = peek(fd)
		return !errors.Is(c.seen, syscall.EAGAIN)
	}
	return c
}

// await waits until there is something to read, which it leaves where it is. So
// a wait takes no buffer. Danger: a socket tells of a reset once; the next look
// takes it for the end.
func (c *backendConn) await() error {
	if c.raw == nil {
		return nil
	}
	if err := c.raw.Read(c.look); err != nil {
		return err
	}
	return c.seen
}

// peek looks whether a socket has something to say, if only its end.
func peek(fd uintptr) error {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err
}

// alive looks, without waiting, whether an idle connection still stands and has
// nothing to say. Danger: what is written to one that the other side has closed
// ends as a reset, which is no proof that it had no effect.
func alive(conn net.Conn) bool {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	// Danger: the time-out of the last use may have passed since, and the look
	// would fail for it at a connection in good health.
	conn.SetReadDeadline(time.Time{})
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		quiet = errors.Is(peek(fd), syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// target is one life of a backend at one address. All of its connections end
// with it.
type target struct {
	address string
	born    float64
	ctx     context.Context // ends with the target; dials hang on it
	cancel  context.CancelFunc
	conns   map[*backendConn]struct{}
	idle    []*backendConn // the most recently used last
	retired bool
}

// pools holds the connections to all backends.
type pools struct {
	connectTimeout time.Duration
	idleLimit      time.Duration
	settle         time.Duration
	mostOpen       int // connections in all
	figures        *figures
	tells          lineLimit // of lines about descriptors
	dial           func(context.Context, *target, time.Duration) (*backendConn, error)

	mu      sync.Mutex
	targets map[rules.BackendID]*target
	open    int // connections and dials
}

func newPools(connectTimeout, keepAlive time.Duration, mostOpen int, f *figures) *pools {
	return &pools{connectTimeout: connectTimeout, idleLimit: idleLimit(keepAlive),
		settle: settleTime, mostOpen: mostOpen, figures: f, tells: lineLimit{most: 1}, dial: dial, targets: map[rules.BackendID]*target{}}
}

// keep sets how many connections there may be.
func (p *pools) keep(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mostOpen = most
}

// retune takes new limits for what is opened or kept from now on.
func (p *pools) retune(connectTimeout, keepAlive time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout, p.idleLimit = connectTimeout, idleLimit(keepAlive)
}

// idleLimit stays below the time after which a backend closes.
func idleLimit(keepAlive time.Duration) time.Duration { return max(keepAlive-idleMargin, keepAlive/2) }

// update tells where a ready backend is. A new start or address retires the
// connections of the old.
func (p *pools) update(id rules.BackendID, address string, born float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.targets[id]
	if old != nil && old.address == address && old.born >= born {
		return
	}
	if old != nil {
		// What is out at an earlier life will never be answered.
		p.retire(old, old.born < born)
	}
	p.targets[id] = newTarget(address, born)
}

func newTarget(address string, born float64) *target {
	t := &target{address: address, born: born, conns: map[*backendConn]struct{}{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// renew ends the dials and idle connections to a backend, as remove does, and
// keeps its address.
func (p *pools) renew(id rules.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[id]; t != nil {
		p.retire(t, false)
		p.targets[id] = newTarget(t.address, t.born)
	}
}

// remove ends all new sending to a backend that drains or is gone, dials that
// wait among it. What is out there may still be answered.
func (p *pools) remove(id rules.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[id]; t != nil {
		p.retire(t, false)
		delete(p.targets, id)
	}
}

func (p *pools) retire(t *target, inUse bool) {
	t.retired = true
	t.cancel()
	for c := range t.conns {
		if inUse || !c.idle.IsZero() {
			c.Close()
		}
	}
	for _, c := range t.idle {
		p.forget(c)
	}
	t.idle = nil
}

// forget takes a closed connection off the books.
func (p *pools) forget(c *backendConn) {
	if _, here := c.home.conns[c]; here {
		delete(c.home.conns, c)
		p.open--
	}
}

// discard closes a connection that may not be used again.
func (p *pools) discard(c *backendConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(c)
}

// put keeps a connection for the next attempt.
func (p *pools) put(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.home.retired {
		c.Close()
		p.forget(c)
		return
	}
	c.idle = time.Now()
	c.home.idle = append(c.home.idle, c)
}

// sweep closes what has been idle too long, until ctx ends.
func (p *pools) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepGap)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			defer p.mu.Unlock()
			for id, t := range p.targets {
				p.retire(t, true)
				delete(p.targets, id)
			}
			return
		case <-tick.C:
			p.mu.Lock()
			for _, t := range p.targets {
				p.closeOldest(t, time.Now().Add(-p.idleLimit))
			}
			p.mu.Unlock()
		}
	}
}

func (p *pools) closeOldest(t *target, before time.Time) {
	n := 0
	for ; n < len(t.idle) && t.idle[n].idle.Before(before); n++ {
		t.idle[n].Close()
		p.forget(t.idle[n])
	}
	t.idle = append(t.idle[:0], t.idle[n:]...)
}

var errNoConn = errors.New("no connection to be had")

// conn returns an idle connection to the backend, or a new one.
func (p *pools) conn(ctx context.Context, id rules.BackendID) (*backendConn, error) {
	p.mu.Lock()
	t := p.targets[id]
	if t == nil {
		p.mu.Unlock()
		return nil, errNoConn
	}
	// Danger: a backend may send more behind an answer, some milliseconds late. On a
	// connection in use by then it would pass for the next answer; on one that rests
	// it is found. Only where there is room for no other is one used at once.
	for n := len(t.idle) - 1; n >= 0; n-- {
		c := t.idle[n]
		if c.rest = time.Since(c.idle); c.rest < p.settle && p.open < p.mostOpen {
			continue
		}
		t.idle = slices.Delete(t.idle, n, n+1)
		if c.rest < p.idleLimit && alive(c.Conn) {
			c.idle = time.Time{}
			p.mu.Unlock()
			return c, nil
		}
		c.Close()
		p.forget(c)
	}
	if p.open >= p.mostOpen {
		p.mu.Unlock()
		return nil, errNoConn
	}
	p.open++
	within := p.connectTimeout
	p.mu.Unlock()
	c, err := p.dial(ctx, t, within)
	if noDescriptor(err) {
		// What rests at other backends makes room, and the attempt has one more try.
		p.giveUpIdle()
		if p.tells.allow() {
			slog.Error("no descriptor for a backend", "error", err)
		}
		if waited(ctx, leastPause) {
			c, err = p.dial(ctx, t, within)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && t.retired {
		c.Close()
		err = errNoConn
	}
	if err != nil {
		p.open--
		return nil, err
	}
	t.conns[c] = struct{}{}
	return c, nil
}

// giveUpIdle closes the connection that has been idle longest.
func (p *pools) giveUpIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *target
	for _, t := range p.targets {
		if len(t.idle) > 0 && (oldest == nil || t.idle[0].idle.Before(oldest.idle[0].idle)) {
			oldest = t
		}
	}
	if oldest != nil {
		c := oldest.idle[0]
		oldest.idle = slices.Delete(oldest.idle, 0, 1)
		c.Close()
		p.forget(c)
	}
}

// noDescriptor tells whether the system has run out of what a connection needs.
func noDescriptor(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM)
}

// waited waits, and returns false if ctx ends first.
func waited(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func dial(ctx context.Context, t *target, within time.Duration) (*backendConn, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	defer context.AfterFunc(t.ctx, cancel)()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", t.address)
	if err != nil {
		return nil, err
	}
	limitSilence(conn) // what it can't notice in time, time-outs do
	return newBackendConn(conn, t), nil
}

// attempt sends the request and waits for what comes back. An error before the
// last byte is written proves that nothing ran; any later one proves nothing.
func (p *pools) attempt(a *attempt) result {
	c, err := p.conn(a.ctx, a.backend)
	if err != nil {
		return result{outcome: rules.ConnectFailed, err: err}
	}
	if !a.hold(c) {
		p.discard(c)
		return result{outcome: rules.ConnectFailed}
	}
	var res result
	var reuse bool
	c.uses++
	c.read.begin()
	if a.x.upload != nil {
		res, reuse = p.stream(a, c)
	} else {
		c.SetReadDeadline(a.until)
		c.SetWriteDeadline(a.writeBy(a.until))
		if err := a.write(c); err != nil {
			a.release()
			p.discard(c)
			return result{outcome: rules.ConnectFailed, err: err}
		}
		p.figures.tries.Add(1)
		res, reuse = p.answer(a, c)
	}
	if res.err != nil {
		res.err = fmt.Errorf("request %d after %v idle: %w", c.uses, c.rest, res.err)
	}
	if a.release() && reuse {
		p.put(c)
	} else {
		p.discard(c)
	}
	return res
}

// write sends a request whose body is whole.
func (a *attempt) write(c *backendConn) error {
	x := a.x
	length := int64(len(x.body))
	if x.trailer != nil {
		length = -1 // only chunks have trailers
	}
	a.writeHead(c.w, time.Until(a.until), length)
	if length >= 0 {
		c.w.Write(x.body) // an error stays
		return c.w.Flush()
	}
	writeChunk(c.w, x.body)
	writeTrailer(c.w, x.trailer)
	return c.w.Flush()
}

// writeHead writes what goes to the backend: the client's own, with the time
// that this attempt has, and the length of the body or, below 0, none.
func (a *attempt) writeHead(w *bufio.Writer, left time.Duration, length int64) {
	x := a.x
	var digits [20]byte
	for _, part := range [...]string{x.method, " ", x.uri, " HTTP/1.1\r\nHost: ", x.host, "\r\n" + leftHeader + ": "} {
		w.WriteString(part)
	}
	w.Write(strconv.AppendInt(digits[:0], max(left.Milliseconds(), 1), 10))
	w.WriteString("\r\n")
	x.header.Write(w)
	switch {
	case length > 0 || length == 0 && x.method == http.MethodPost:
		w.WriteString("Content-Length: ")
		w.Write(strconv.AppendInt(digits[:0], length, 10))
		w.WriteString("\r\n")
	case length < 0:
		w.WriteString("Transfer-Encoding: chunked\r\n")
		if len(x.announced) > 0 {
			w.WriteString("Trailer: " + strings.Join(x.announced, ", ") + "\r\n")
		}
	}
	w.WriteString("\r\n")
}

func writeChunk(w *bufio.Writer, p []byte) {
	if len(p) == 0 {
		return // it would be the end
	}
	var digits [20]byte
	w.Write(append(strconv.AppendInt(digits[:0], int64(len(p)), 16), '\r', '\n'))
	w.Write(p)
	w.WriteString("\r\n")
}

func writeTrailer(w *bufio.Writer, trailer http.Header) {
	w.WriteString("0\r\n")
	trailer.Write(w)
	w.WriteString("\r\n")
}

// stream sends a request whose body is still to come, and listens meanwhile: the
// answer may come first.
func (p *pools) stream(a *attempt, c *backendConn) (result, bool) {
	u := a.x.upload
	c.SetDeadline(a.until) // none, unless the body is whole by now
	u.take(a)
	sent := make(chan error, 1)
	p.figures.up.open.Add(1)
	go func() {
		defer p.figures.up.open.Add(-1)
		defer u.done(a)
		why, err := a.send(c)
		if err == nil {
			p.figures.tries.Add(1)
		}
		p.figures.up.end(why, a.x.header.Get(idHeader), err)
		if sent <- err; err != nil {
			c.Close() // and with it the wait for an answer
		}
	}()
	res, reuse := p.answer(a, c)
	var cut error
	over, err := a.sentBy(sent)
	if !over {
		c.Close() // no more goes out than has
		reuse = false
		if err = errCutShort; a.last.Load() {
			err = <-sent // the end was about to be written
		}
	}
	res.spent, cut = u.leave()
	if err == nil || res.outcome != rules.Broken && res.outcome != rules.TimedOut {
		return res, reuse && err == nil // an answer, or no word after the whole
	}
	// It broke before its end was written, so nothing has run.
	res.outcome, res.err, res.cut = rules.ConnectFailed, err, cut
	if cut != nil || errors.Is(err, errCutShort) && u.answered() {
		res.outcome = rules.Moot // the backend is not to blame
	}
	return res, false
}

// sentBy tells whether the sending is over, and how it ended. An answer may be here
// a moment before the sender has noticed that all of the body has gone.
func (a *attempt) sentBy(sent <-chan error) (over bool, err error) {
	if !a.last.Load() {
		select {
		case err = <-sent:
			return true, err
		default:
			return false, nil
		}
	}
	moment := time.NewTimer(lastMoment)
	defer moment.Stop()
	select {
	case err = <-sent:
		return true, err
	case <-moment.C:
		return false, nil
	}
}

// send writes the body of an upload as it comes, and tells why it ended.
func (a *attempt) send(c *backendConn) (cause, error) {
	u, to := a.x.upload, pace{pause: stall, grace: stall, rate: leastRate}
	a.writeHead(c.w, u.left, u.length)
	for at, total := 0, int64(0); ; {
		piece, err := u.next(a, at)
		if err != nil && err != io.EOF {
			return bodyCause(err), err
		}
		at += len(piece)
		total += int64(len(piece))
		if err == io.EOF || total == u.length {
			a.last.Store(true)
		}
		before := time.Now()
		c.SetWriteDeadline(a.writeBy(before.Add(to.wait())))
		if u.length >= 0 {
			c.w.Write(piece)
		} else {
			writeChunk(c.w, piece)
		}
		if err == io.EOF && u.length < 0 {
			writeTrailer(c.w, trailers(u.request.Trailer))
		}
		if err := c.w.Flush(); err != nil {
			return slowOr(err, backendSlow, backendBroke), err
		}
		if err == io.EOF {
			return endedWhole, nil
		}
		to.moved(len(piece), time.Since(before))
	}
}

// answer reads what comes back and tells whether the connection may be used
// again. A good answer is held until it is whole or let go.
func (p *pools) answer(a *attempt, c *backendConn) (result, bool) {
	asked := &http.Request{Method: a.x.method}
	for range mostInterim {
		c.left.N = mostHead
		resp, err := http.ReadResponse(c.r, asked)
		if err == nil && c.read.doubt {
			err = errTwoWays
		}
		if err != nil {
			return result{outcome: broken(err), err: err}, false
		}
		if resp.StatusCode/100 == 1 {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				break // nobody asked for it
			}
			if resp.StatusCode != http.StatusContinue {
				a.interim(answer{status: resp.StatusCode, header: resp.Header})
			}
			continue
		}
		c.left.N = noLimit
		if !a.x.good(resp.StatusCode) {
			n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, mostUnread+1)) // its text is nothing to anybody
			if err != nil {
				return result{outcome: broken(err), err: err}, false
			}
			outcome := rules.Errored
			if (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
				resp.Header.Get(notRunHeader) == "1" {
				outcome = rules.Full
			}
			return result{outcome: outcome}, !resp.Close && n <= mostUnread && c.r.Buffered() == 0
		}
		res := p.good(a, c, resp)
		return res, res.outcome == rules.Served && !resp.Close && c.r.Buffered() == 0
	}
	return result{outcome: rules.Errored}, false
}

// good tells whether an answer of a backend is one for the client.
func (x *exchange) good(status int) bool {
	return status == http.StatusOK || status == http.StatusNoContent ||
		status == http.StatusNotModified && (x.header.Get("If-None-Match") != "" || x.header.Get("If-Modified-Since") != "")
}

// good takes in an answer that is for the client.
func (p *pools) good(a *attempt, c *backendConn, resp *http.Response) result {
	start := answer{status: resp.StatusCode, header: resp.Header, length: resp.ContentLength}
	if resp.Body == http.NoBody {
		return result{outcome: rules.Served, answer: start, units: trueUnits(resp.Header)}
	}
	d := &download{body: resp.Body, length: resp.ContentLength, conn: c, window: window{budget: &p.figures.bodies}, figures: p.figures, end: make(chan rules.Outcome, 1)}
	most := mostHeld
	if l := resp.ContentLength; l >= 0 && l < mostHeld {
		most = int(l)
	}
	d.memory, most = p.figures.bodies.room(most)
	if len(resp.TransferEncoding) > 0 {
		d.chunks = &chunkedReader{r: c.r}
		d.body = d.chunks
	}
	d.start = newIntake(d.body, resp.ContentLength, most)
	start.rest = d
	begin := func() {
		if !a.begun(start) {
			d.drop() // nobody is there to take it
		}
	}
	if l := resp.ContentLength; l < 0 || l > int64(c.r.Buffered()) {
		defer time.AfterFunc(holdFor, func() {
			if d.start.release() {
				begin()
			}
		}).Stop()
	}
	whole, err := d.start.fill()
	switch {
	case d.start.released():
		// The timer has let it go.
	case whole:
		start.body, start.rest, start.trailer = d.start.held, nil, d.trailers()
		start.memory = p.figures.bodies.shrink(d.memory, len(start.body))
		return result{outcome: rules.Served, answer: start, units: trueUnits(resp.Header)}
	case err != nil:
		p.figures.bodies.give(d.memory)
		return result{outcome: broken(err), err: err}
	default:
		begin()
	}
	outcome := <-d.end
	p.figures.bodies.give(d.memory)
	return result{outcome: outcome}
}

// trueUnits reads what a request really took. The answer is the client's whatever
// stands there, so what is no number of units counts as not told.
func trueUnits(h http.Header) float64 {
	units, err := strconv.ParseFloat(h.Get(costHeader), 64)
	if err != nil || !(units > 0) || math.IsInf(units, 0) {
		return 0
	}
	return units
}

// broken tells a time-out from a connection that ended.
func broken(err error) rules.Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return rules.TimedOut
	}
	return rules.Broken
}

// errTwoWays says that an answer's length is told in more than one way.
var errTwoWays = errors.New("the length of the answer is told twice")

// noLimit is what an answer may take once its head has been read: what is held
// of it is bounded, and its length is not.
const noLimit = math.MaxInt64
