package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"dunlintray/internal/gateway/body"
)

// upload is a request body that is streamed to a backend while it arrives. The attempt that
// sends it reads it; the client's handler may stop that.
type upload struct {
	request       *http.Request // of the client; has the trailers once the body is complete
	length        int64         // bytes; -1 if unknown
	clientTimeout time.Duration // counts from the last byte of the body
	onConsumed    func()        // called before the first read of remainder
	onComplete    func(responseDeadline time.Time)
	prefix        *body.Prefix

	readMu    sync.Mutex // held while remainder is read
	remainder *clientBody
	window    body.Window

	mu               sync.Mutex
	prefixMemory     *body.Reservation
	windowMemory     *body.Reservation // MinWindow
	sender           *attempt          // attempt that sends the body
	reader           *attempt          // attempt that reads remainder; nil if it has not been read
	closed           bool              // by the client's handler
	err              error             // of the last read of the body; io.EOF at its end
	responseDeadline time.Time         // set once the body is complete
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
	if piece, err = u.prefix.Next(offset); piece != nil {
		return piece, nil
	}
	u.readMu.Lock()
	defer u.readMu.Unlock()
	if ended := u.beginRead(sender, err == nil); ended != nil {
		return nil, ended
	}
	if err == nil {
		var n int
		piece = u.window.Buffer()
		n, err = u.remainder.Read(piece)
		u.window.RecordUse(n)
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
		u.prefix.Discard()
		u.prefixMemory.Release()
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
	u.prefix.Wait()
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

// releaseMemory gives back the memory of the upload, at the end of the request.
func (u *upload) releaseMemory() {
	u.prefixMemory.Release()
	u.windowMemory.Release()
}

// releaseWindow releases the window if the sender has used it. The sender writes from it
// until its end.
func (u *upload) releaseWindow(sender *attempt) {
	u.readMu.Lock()
	defer u.readMu.Unlock()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.reader == sender {
		u.window.Release()
	}
}

// uploadStatus returns the status for a client whose body was incomplete.
func uploadStatus(err error) int {
	switch tooSlow := errors.Is(err, os.ErrDeadlineExceeded); {
	case errors.Is(err, errBodyTooLong):
		return http.StatusRequestEntityTooLarge
	case tooSlow:
		return http.StatusRequestTimeout
	case errors.Is(err, body.ErrNoMemory):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}
