package gateway

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunlintray/internal/gateway/body"
	"dunlintray/rules"
)

// senderGrace is how long a sender may take to notice that the whole body has been sent.
const senderGrace = 20 * time.Millisecond

// writeRequest sends a request whose body is held in memory.
func (a *attempt) writeRequest(conn *backendConn) error {
	exchange := a.exchange
	length := int64(len(exchange.body))
	if exchange.trailer != nil {
		length = -1 // only chunked bodies have trailers
	}
	a.writeHead(conn.writer, time.Until(a.wallDeadline), length)
	if length >= 0 {
		conn.writer.Write(exchange.body) // the writer keeps an error until Flush
		return conn.writer.Flush()
	}
	writeChunk(conn.writer, exchange.body)
	writeTrailer(conn.writer, exchange.trailer)
	return conn.writer.Flush()
}

// writeHead writes the request line and the headers: those of the client, the time
// remaining for this attempt, and the framing of the body. A negative length means chunks.
func (a *attempt) writeHead(writer *bufio.Writer, remaining time.Duration, length int64) {
	exchange := a.exchange
	var digits [20]byte
	for _, part := range [...]string{exchange.method, " ", exchange.uri, " HTTP/1.1\r\nHost: ", exchange.host, "\r\n" + timeLeftHeader + ": "} {
		writer.WriteString(part)
	}
	writer.Write(strconv.AppendInt(digits[:0], max(remaining.Milliseconds(), 1), 10))
	writer.WriteString("\r\n")
	exchange.header.Write(writer)
	switch {
	case length > 0 || length == 0 && exchange.method == http.MethodPost:
		writer.WriteString("Content-Length: ")
		writer.Write(strconv.AppendInt(digits[:0], length, 10))
		writer.WriteString("\r\n")
	case length < 0:
		writer.WriteString("Transfer-Encoding: chunked\r\n")
		if len(exchange.announcedTrailers) > 0 {
			writer.WriteString("Trailer: " + strings.Join(exchange.announcedTrailers, ", ") + "\r\n")
		}
	}
	writer.WriteString("\r\n")
}

// writeChunk writes one chunk of a body, or nothing if data is empty.
func writeChunk(w *bufio.Writer, data []byte) {
	if len(data) == 0 {
		return // an empty chunk would end the body
	}
	var digits [20]byte
	w.Write(append(strconv.AppendInt(digits[:0], int64(len(data)), 16), '\r', '\n'))
	w.Write(data)
	w.WriteString("\r\n")
}

// writeTrailer ends a chunked body.
func writeTrailer(w *bufio.Writer, trailer http.Header) {
	w.WriteString("0\r\n")
	trailer.Write(w)
	w.WriteString("\r\n")
}

// streamBody sends a request whose body is still arriving from the client, and which the attempt has
// claimed. It reads the
// response at the same time, since a backend may answer before the body has ended. The
// second result reports whether the connection may be reused.
func (p *pools) streamBody(attempt *attempt, conn *backendConn) (result, bool) {
	upload := attempt.exchange.upload
	conn.SetDeadline(attempt.wallDeadline) // no deadline unless the body is already complete
	sent := make(chan error, 1)
	p.metrics.uploads.streaming.Add(1)
	go func() {
		defer p.metrics.uploads.streaming.Add(-1)
		defer upload.releaseWindow(attempt)
		cause, err := attempt.sendBody(conn)
		if err == nil {
			p.metrics.attempts.Add(1)
		}
		p.metrics.uploads.recordEnd(cause, attempt.exchange.header.Get(idHeader), err)
		if sent <- err; err != nil {
			conn.Close() // which also ends the wait for a response
		}
	}()
	res, reuse := p.readResponse(attempt, conn)
	var bodyErr error
	finished, err := attempt.awaitSender(sent)
	if !finished {
		conn.Close() // nothing more of the body may leave
		reuse = false
		if err = errTransferAborted; attempt.lastPiece.Load() {
			err = <-sent // the sender is at the last piece
		}
	}
	bodyErr = upload.unassign(attempt)
	if err == nil || res.outcome != rules.Broken && res.outcome != rules.TimedOut {
		return res, reuse && err == nil // a response, or a failure after the whole body was sent
	}
	// The body broke off before its end was written, so the backend has run nothing.
	res.outcome, res.err, res.bodyErr = rules.ConnectFailed, err, bodyErr
	if bodyErr != nil || errors.Is(err, errTransferAborted) && upload.responseSent() {
		res.outcome = rules.NotStarted // says nothing about the backend
	}
	return res, false
}

// awaitSender reports whether the sender has finished, and with which error. The response
// may arrive before the sender has noticed that the whole body is sent, so awaitSender waits
// up to senderGrace for a sender that is at the last piece.
func (a *attempt) awaitSender(sent <-chan error) (finished bool, err error) {
	if !a.lastPiece.Load() {
		select {
		case err = <-sent:
			return true, err
		default:
			return false, nil
		}
	}
	timer := time.NewTimer(senderGrace)
	defer timer.Stop()
	select {
	case err = <-sent:
		return true, err
	case <-timer.C:
		return false, nil
	}
}

// sendBody writes a request and its body as the body arrives. It returns why the upload
// ended.
func (a *attempt) sendBody(conn *backendConn) (transferCause, error) {
	upload, writePace := a.exchange.upload, body.Pace{MaxPause: stallTimeout, Grace: stallTimeout, MinRate: minTransferRate}
	remaining := upload.remaining()
	if !a.wallDeadline.IsZero() {
		remaining = min(remaining, time.Until(a.wallDeadline))
	}
	a.writeHead(conn.writer, remaining, upload.length)
	for offset, total := 0, int64(0); ; {
		piece, err := upload.next(a, offset)
		if err != nil && err != io.EOF {
			return clientBodyCause(err), err
		}
		offset += len(piece)
		total += int64(len(piece))
		if err == io.EOF || total == upload.length {
			a.lastPiece.Store(true)
		}
		writeStart := time.Now()
		conn.SetWriteDeadline(a.writeDeadline(writeStart.Add(writePace.AllowedWait())))
		if upload.length >= 0 {
			conn.writer.Write(piece)
		} else {
			writeChunk(conn.writer, piece)
		}
		if err == io.EOF && upload.length < 0 {
			writeTrailer(conn.writer, forwardableTrailers(upload.request.Trailer))
		}
		if err := conn.writer.Flush(); err != nil {
			return timeoutCause(err, backendSlow, backendBroken), err
		}
		if err == io.EOF {
			return transferComplete, nil
		}
		writePace.Record(len(piece), time.Since(writeStart))
	}
}
