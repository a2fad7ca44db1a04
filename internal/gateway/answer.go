package gateway

import (
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"dunlintray/rules"
)

const (
	maxDiscard      = 64 << 10 // bytes of a discarded body that are read so that its connection can be reused
	maxResponseHead = 64 << 10 // bytes of the head of a response
	maxInterim      = 8        // 1xx responses before the final one
)

// errTwoWays says that the framing of a response is ambiguous.
var errAmbiguousLength = errors.New("the length of the answer is told twice")

// noLimit is the limit of a connection's reader once the head of a response has been read.
// The length of a body is not bounded; what the gateway holds of it is, elsewhere.
const noReadLimit = math.MaxInt64

// answer reads the response to an attempt. The second result reports whether the
// connection may be reused. A response for the client is held until it is complete or
// until it is time to pass its beginning on.
func (p *pools) readResponse(a *attempt, c *backendConn) (result, bool) {
	asked := &http.Request{Method: a.exchange.method}
	for range maxInterim {
		c.remaining.N = maxResponseHead
		resp, err := http.ReadResponse(c.reader, asked)
		if err == nil && c.framing.ambiguous {
			err = errAmbiguousLength
		}
		if err != nil {
			return result{outcome: errorOutcome(err), err: err}, false
		}
		if resp.StatusCode/100 == 1 {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				break // no request asks for an upgrade
			}
			if resp.StatusCode != http.StatusContinue {
				a.onInterim(response{status: resp.StatusCode, header: resp.Header})
			}
			continue
		}
		c.remaining.N = noReadLimit
		if !a.exchange.passesStatus(resp.StatusCode) {
			n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscard+1)) // nobody reads its text
			if err != nil {
				return result{outcome: errorOutcome(err), err: err}, false
			}
			outcome := rules.Errored
			if (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
				resp.Header.Get(unprocessedHeader) == "1" {
				outcome = rules.Full
			}
			return result{outcome: outcome}, !resp.Close && n <= maxDiscard && c.reader.Buffered() == 0
		}
		res := p.relayResponse(a, c, resp)
		return res, res.outcome == rules.Served && !resp.Close && c.reader.Buffered() == 0
	}
	return result{outcome: rules.Errored}, false
}

// good reports whether a response with this status goes to the client.
func (x *exchange) passesStatus(status int) bool {
	return status == http.StatusOK || status == http.StatusNoContent ||
		status == http.StatusNotModified && (x.header.Get("If-None-Match") != "" || x.header.Get("If-Modified-Since") != "")
}

// good reads a response that goes to the client.
func (p *pools) relayResponse(a *attempt, c *backendConn, resp *http.Response) result {
	start := response{status: resp.StatusCode, header: resp.Header, length: resp.ContentLength}
	if resp.Body == http.NoBody {
		return result{outcome: rules.Served, answer: start, units: reportedUnits(resp.Header)}
	}
	d := &download{body: resp.Body, length: resp.ContentLength, conn: c, window: window{budget: &p.metrics.bodyBudget}, metrics: p.metrics, done: make(chan rules.Outcome, 1)}
	most := maxHeldBody
	if l := resp.ContentLength; l >= 0 && l < maxHeldBody {
		most = int(l)
	}
	d.reservedMemory, most = p.metrics.bodyBudget.reserveUpTo(most)
	if len(resp.TransferEncoding) > 0 {
		d.chunked = &chunkedReader{r: c.reader}
		d.body = d.chunked
	}
	d.prefix = newBodyPrefix(d.body, resp.ContentLength, most)
	start.download = d
	begin := func() {
		if !a.onStart(start) {
			d.discard() // the client no longer waits
		}
	}
	if l := resp.ContentLength; l < 0 || l > int64(c.reader.Buffered()) {
		defer time.AfterFunc(maxHoldTime, func() {
			if d.prefix.release() {
				begin()
			}
		}).Stop()
	}
	whole, err := d.prefix.fill()
	switch {
	case d.prefix.released():
		// The timer has released it to the client.
	case whole:
		start.body, start.download, start.trailer = d.prefix.held, nil, d.trailers()
		start.reservedMemory = p.metrics.bodyBudget.shrink(d.reservedMemory, len(start.body))
		return result{outcome: rules.Served, answer: start, units: reportedUnits(resp.Header)}
	case err != nil:
		p.metrics.bodyBudget.release(d.reservedMemory)
		return result{outcome: errorOutcome(err), err: err}
	default:
		begin()
	}
	outcome := <-d.done
	p.metrics.bodyBudget.release(d.reservedMemory)
	return result{outcome: outcome}
}

// trueUnits returns the units of the quota that a request really took, as the backend
// reports them. A header that is not a positive number counts as absent: it must not cost
// the client its response.
func reportedUnits(h http.Header) float64 {
	units, err := strconv.ParseFloat(h.Get(costHeader), 64)
	if err != nil || !(units > 0) || math.IsInf(units, 0) {
		return 0
	}
	return units
}

// broken returns the outcome for an error of the connection: a time-out or a break.
func errorOutcome(err error) rules.Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return rules.TimedOut
	}
	return rules.Broken
}
