package gateway

import (
	"io"
	"net/http"
	"sync"
	"time"

	"dunlintray/internal/gateway/body"
	"dunlintray/rules"
)

// download is a response body that is streamed to the client. The attempt keeps the backend
// connection until the client's handler, or the loop, reports the outcome.
type download struct {
	prefix       *body.Prefix
	prefixMemory *body.Reservation
	body         io.Reader
	chunked      *chunkedReader // body, if it is chunked; otherwise nil
	length       int64          // bytes; -1 if unknown
	conn         *backendConn
	window       body.Window
	metrics      *metrics
	done         chan rules.Outcome // has room for one

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
	defer d.window.Release()
	backendPace := body.Pace{MaxPause: stallTimeout, Grace: stallTimeout} // no minimum rate: its work is done
	clientPace := body.Pace{MaxPause: stallTimeout, Grace: stallTimeout, MinRate: minTransferRate}
	d.conn.SetReadDeadline(time.Now().Add(stallTimeout)) // for the goroutine that fills the prefix
	for offset := 0; ; {
		piece, err := d.prefix.Next(offset)
		fromPrefix := piece != nil // the prefix may still be being filled
		if offset += len(piece); !fromPrefix && err == nil {
			piece, err = d.readNext(&backendPace)
		}
		for len(piece) > 0 {
			n := min(len(piece), maxWriteSize)
			start := time.Now()
			control.SetWriteDeadline(start.Add(clientPace.AllowedWait()))
			_, writeErr := w.Write(piece[:n])
			if piece = piece[n:]; writeErr == nil && len(piece) == 0 && err == nil && (fromPrefix || !d.hasBuffered()) {
				writeErr = control.Flush()
			}
			if writeErr != nil {
				return rules.Cancelled, writeErr // the client has disconnected or does not read
			}
			clientPace.Record(n, time.Since(start))
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
func (d *download) readNext(backendPace *body.Pace) ([]byte, error) {
	d.prefix.Discard()
	d.prefixMemory.Release()
	start := time.Now()
	d.conn.SetReadDeadline(start.Add(backendPace.AllowedWait()))
	if !d.hasBuffered() {
		d.window.Release()
		if err := d.conn.awaitReadable(); err != nil {
			return nil, err
		}
	}
	buffer := d.window.Buffer()
	n, err := d.body.Read(buffer)
	d.window.RecordUse(n)
	backendPace.Record(n, time.Since(start))
	return buffer[:n], err
}
