package gateway

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunlintray/rules"
)

// lastMoment is how long a sender may take to notice that the whole body has been sent.
const senderGrace = 20 * time.Millisecond

// write sends a request whose body is held in memory.
func (a *attempt) writeRequest(c *backendConn) error {
	x := a.exchange
	length := int64(len(x.body))
	if x.trailer != nil {
		length = -1 // only chunked bodies have trailers
	}
	a.writeHead(c.writer, time.Until(a.wallDeadline), length)
	if length >= 0 {
		c.writer.Write(x.body) // the writer keeps an error until Flush
		return c.writer.Flush()
	}
	writeChunk(c.writer, x.body)
	writeTrailer(c.writer, x.trailer)
	return c.writer.Flush()
}

// writeHead writes the request line and the headers: those of the client, the time that
// this attempt has left, and the framing of the body. A negative length means chunks.
func (a *attempt) writeHead(w *bufio.Writer, left time.Duration, length int64) {
	x := a.exchange
	var digits [20]byte
	for _, part := range [...]string{x.method, " ", x.uri, " HTTP/1.1\r\nHost: ", x.host, "\r\n" + timeLeftHeader + ": "} {
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
		if len(x.announcedTrailers) > 0 {
			w.WriteString("Trailer: " + strings.Join(x.announcedTrailers, ", ") + "\r\n")
		}
	}
	w.WriteString("\r\n")
}

// writeChunk writes one chunk of a body, or nothing if p is empty.
func writeChunk(w *bufio.Writer, p []byte) {
	if len(p) == 0 {
		return // an empty chunk would end the body
	}
	var digits [20]byte
	w.Write(append(strconv.AppendInt(digits[:0], int64(len(p)), 16), '\r', '\n'))
	w.Write(p)
	w.WriteString("\r\n")
}

// writeTrailer ends a chunked body.
func writeTrailer(w *bufio.Writer, trailer http.Header) {
	w.WriteString("0\r\n")
	trailer.Write(w)
	w.WriteString("\r\n")
}

// stream sends a request whose body is still arriving from the client. It reads the
// response at the same time, since a backend may answer before the body has ended. The
// second result reports whether the connection may be reused.
func (p *pools) streamBody(a *attempt, c *backendConn) (result, bool) {
	u := a.exchange.upload
	c.SetDeadline(a.wallDeadline) // zero, so without a deadline, unless the body is complete by now
	u.assign(a)
	sent := make(chan error, 1)
	p.metrics.uploads.streaming.Add(1)
	go func() {
		defer p.metrics.uploads.streaming.Add(-1)
		defer u.releaseWindow(a)
		why, err := a.sendBody(c)
		if err == nil {
			p.metrics.attempts.Add(1)
		}
		p.metrics.uploads.recordEnd(why, a.exchange.header.Get(idHeader), err)
		if sent <- err; err != nil {
			c.Close() // which also ends the wait for a response
		}
	}()
	res, reuse := p.readResponse(a, c)
	var cut error
	over, err := a.awaitSender(sent)
	if !over {
		c.Close() // nothing more of the body may leave
		reuse = false
		if err = errTransferAborted; a.lastPiece.Load() {
			err = <-sent // the sender is at the last piece
		}
	}
	res.bodyConsumed, cut = u.unassign()
	if err == nil || res.outcome != rules.Broken && res.outcome != rules.TimedOut {
		return res, reuse && err == nil // a response, or a failure after the whole body was sent
	}
	// The body broke off before its end was written, so the backend has run nothing.
	res.outcome, res.err, res.bodyErr = rules.ConnectFailed, err, cut
	if cut != nil || errors.Is(err, errTransferAborted) && u.responseSent() {
		res.outcome = rules.Moot // the backend is not to blame
	}
	return res, false
}

// sentBy reports whether the sender has finished, and with which error. The response may
// arrive a moment before the sender has noticed that the whole body is sent, so sentBy
// waits up to lastMoment for one that is at the last piece.
func (a *attempt) awaitSender(sent <-chan error) (over bool, err error) {
	if !a.lastPiece.Load() {
		select {
		case err = <-sent:
			return true, err
		default:
			return false, nil
		}
	}
	moment := time.NewTimer(senderGrace)
	defer moment.Stop()
	select {
	case err = <-sent:
		return true, err
	case <-moment.C:
		return false, nil
	}
}

// send writes the body of an upload as it arrives. It returns why the upload ended.
func (a *attempt) sendBody(c *backendConn) (transferCause, error) {
	u, to := a.exchange.upload, pace{maxPause: stallTimeout, grace: stallTimeout, minRate: minTransferRate}
	left := u.remaining()
	if !a.wallDeadline.IsZero() {
		left = min(left, time.Until(a.wallDeadline))
	}
	a.writeHead(c.writer, left, u.length)
	for at, total := 0, int64(0); ; {
		piece, err := u.next(a, at)
		if err != nil && err != io.EOF {
			return clientBodyCause(err), err
		}
		at += len(piece)
		total += int64(len(piece))
		if err == io.EOF || total == u.length {
			a.lastPiece.Store(true)
		}
		before := time.Now()
		c.SetWriteDeadline(a.writeDeadline(before.Add(to.allowedWait())))
		if u.length >= 0 {
			c.writer.Write(piece)
		} else {
			writeChunk(c.writer, piece)
		}
		if err == io.EOF && u.length < 0 {
			writeTrailer(c.writer, forwardableTrailers(u.request.Trailer))
		}
		if err := c.writer.Flush(); err != nil {
			return timeoutCause(err, backendSlow, backendBroken), err
		}
		if err == io.EOF {
			return transferComplete, nil
		}
		to.record(len(piece), time.Since(before))
	}
}
