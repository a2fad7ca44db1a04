package gateway

import (
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"dunlintray/internal/gateway/body"
	"dunlintray/rules"
)

const (
	maxDiscard      = 64 << 10 // bytes of a discarded body that are read to reuse the connection
	maxResponseHead = 64 << 10 // bytes
	maxInterim      = 8        // 1xx responses before the final one
)

// errAmbiguousLength reports that the framing of a response is ambiguous.
var errAmbiguousLength = errors.New("ambiguous response: body length given more than once")

// noReadLimit is the limit of a connection's reader once the head of a response has been
// read. The body may have any length; only a bounded part of it is held in memory.
const noReadLimit = math.MaxInt64

// readResponse reads the response to an attempt. The second result reports whether the
// connection may be reused. A response for the client is held until it is complete or
// starts to be streamed.
func (p *pools) readResponse(attempt *attempt, conn *backendConn) (result, bool) {
	request := &http.Request{Method: attempt.exchange.method}
	for range maxInterim {
		conn.remaining.N = maxResponseHead
		resp, err := http.ReadResponse(conn.reader, request)
		if err == nil && conn.framing.ambiguous {
			err = errAmbiguousLength
		}
		if err != nil {
			return result{outcome: errorOutcome(err), err: err}, false
		}
		if resp.StatusCode/100 == 1 {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				break // no request asked for an upgrade
			}
			if resp.StatusCode != http.StatusContinue {
				attempt.onInterim(response{status: resp.StatusCode, header: resp.Header})
			}
			continue
		}
		conn.remaining.N = noReadLimit
		if !attempt.exchange.passesStatus(resp.StatusCode) {
			discarded, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscard+1)) // the body is not used
			if err != nil {
				return result{outcome: errorOutcome(err), err: err}, false
			}
			outcome := rules.Errored
			if (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
				resp.Header.Get(unprocessedHeader) == "1" {
				outcome = rules.Full
			}
			return result{outcome: outcome}, !resp.Close && discarded <= maxDiscard && conn.reader.Buffered() == 0
		}
		res := p.relayResponse(attempt, conn, resp)
		return res, res.outcome == rules.Served && !resp.Close && conn.reader.Buffered() == 0
	}
	return result{outcome: rules.Errored}, false
}

// passesStatus reports whether a response with this status goes to the client.
func (x *exchange) passesStatus(status int) bool {
	return status == http.StatusOK || status == http.StatusNoContent ||
		status == http.StatusNotModified && (x.header.Get("If-None-Match") != "" || x.header.Get("If-Modified-Since") != "")
}

// relayResponse reads a response that goes to the client.
func (p *pools) relayResponse(attempt *attempt, conn *backendConn, resp *http.Response) result {
	head := response{status: resp.StatusCode, header: resp.Header, length: resp.ContentLength}
	if resp.Body == http.NoBody {
		return result{outcome: rules.Served, response: head, units: reportedUnits(resp.Header)}
	}
	download := &download{body: resp.Body, length: resp.ContentLength, conn: conn, metrics: p.metrics, done: make(chan rules.Outcome, 1)}
	maxStart := maxHeldBody
	if length := resp.ContentLength; length >= 0 && length < maxHeldBody {
		maxStart = int(length)
	}
	download.window.Init(p.metrics.bodies, 0)
	download.prefixMemory, maxStart = p.metrics.bodies.ReserveUpTo(body.ResponseStart, maxStart)
	if len(resp.TransferEncoding) > 0 {
		download.chunked = &chunkedReader{reader: conn.reader}
		download.body = download.chunked
	}
	download.prefix = body.NewPrefix(download.body, resp.ContentLength, maxStart)
	head.download = download
	startStreaming := func() {
		if !attempt.onStart(head) {
			download.discard() // the client no longer waits
		}
	}
	if length := resp.ContentLength; length < 0 || length > int64(conn.reader.Buffered()) {
		defer time.AfterFunc(maxHoldTime, func() {
			if download.prefix.Release() {
				startStreaming()
			}
		}).Stop()
	}
	complete, err := download.prefix.Fill()
	switch {
	case download.prefix.Released():
		// The timer has released it to the client.
	case complete:
		head.body, head.download, head.trailer = download.prefix.Held(), nil, download.trailers()
		download.prefixMemory.Shrink(len(head.body))
		head.memory = download.prefixMemory
		return result{outcome: rules.Served, response: head, units: reportedUnits(resp.Header)}
	case err != nil:
		download.prefixMemory.Release()
		return result{outcome: errorOutcome(err), err: err}
	default:
		startStreaming()
	}
	outcome := <-download.done
	download.prefixMemory.Release()
	return result{outcome: outcome}
}

// reportedUnits returns the units of the quota that a request took, as the backend reports
// them. A header that is not a positive finite number counts as absent, so that the client
// still gets the response.
func reportedUnits(header http.Header) float64 {
	units, err := strconv.ParseFloat(header.Get(costHeader), 64)
	if err != nil || !(units > 0) || math.IsInf(units, 0) {
		return 0
	}
	return units
}

// errorOutcome returns the outcome for a connection error: a timeout or a broken
// connection.
func errorOutcome(err error) rules.Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return rules.TimedOut
	}
	return rules.Broken
}
