package gateway

import (
	"math"
	"net/http"
	"strconv"

	"dunlintray/rules"
)

// interim reports whether the response is a 1xx.
func (r response) interim() bool { return r.status/100 == 1 }

// writeInterim writes a 1xx response. Its headers are not repeated in the final one.
func (r response) writeInterim(w http.ResponseWriter) {
	header := w.Header()
	for name, values := range endToEndHeaders(r.header) {
		header[name] = values
	}
	w.WriteHeader(r.status)
	clear(header)
}

// writeResponse writes a final response. An error means that the response is incomplete
// and that the client cannot tell so far.
func (f *frontend) writeResponse(response response, id string, w http.ResponseWriter, control *http.ResponseController) error {
	defer response.memory.Release()
	header := w.Header()
	for name, values := range response.header {
		header[name] = values
	}
	if !response.fromBackend {
		if response.retryAfter > 0 {
			header["Retry-After"] = []string{strconv.FormatFloat(math.Ceil(response.retryAfter*1000)/1000, 'f', -1, 64)}
		}
		header["Content-Length"] = []string{"0"}
		w.WriteHeader(response.status)
		return nil
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil // prevents content sniffing
	}
	if response.length < 0 && response.download == nil && response.trailer == nil {
		response.length = int64(len(response.body))
	}
	if response.length >= 0 && response.status != http.StatusNoContent && response.status != http.StatusNotModified {
		header["Content-Length"] = []string{strconv.FormatInt(response.length, 10)}
	}
	if response.download == nil {
		addTrailers(header, response.trailer) // before the header, so that the body is sent in chunks
		w.WriteHeader(response.status)
		w.Write(response.body) // an error means that the client has disconnected
		return nil
	}
	return f.streamResponse(response, id, w, control)
}

// streamResponse writes a response whose body is still arriving from the backend.
func (f *frontend) streamResponse(response response, id string, w http.ResponseWriter, control *http.ResponseController) error {
	download := response.download
	if !download.claim() {
		return errTransferAborted // the loop discarded it because the client disconnected
	}
	f.metrics.downloads.streaming.Add(1)
	defer f.metrics.downloads.streaming.Add(-1)
	w.WriteHeader(response.status)
	outcome, err := rules.Cancelled, control.Flush()
	if err == nil {
		outcome, err = download.copyTo(w, control)
	}
	if outcome == rules.Served {
		addTrailers(w.Header(), download.trailers())
		if err = control.Flush(); err != nil {
			outcome = rules.Cancelled
		}
	}
	switch outcome {
	case rules.Served:
		f.metrics.downloads.recordEnd(transferComplete, "", nil)
	case rules.Cancelled:
		f.metrics.downloads.recordEnd(timeoutCause(err, clientSlow, clientLeft), id, err)
	default:
		f.metrics.downloads.recordEnd(timeoutCause(err, backendSlow, backendBroken), id, err)
	}
	download.done <- outcome
	return err
}

// addTrailers adds trailers to the headers h of a response.
func addTrailers(h, trailer http.Header) {
	for name, values := range trailer {
		h[http.TrailerPrefix+name] = values
	}
}
