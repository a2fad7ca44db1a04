package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"dunlintray/internal/gateway/body"
)

// bodyPlan is how much of a request's body is kept, by its length.
type bodyPlan struct {
	held   int // bytes that are kept before the body is streamed
	window int // bytes for the window through which the remainder passes; 0: there is none
}

// planBody returns the plan for a body of a length, which is negative if it is unknown.
func planBody(length int64) bodyPlan {
	switch {
	case length > maxHeldBody:
		return bodyPlan{window: body.MinWindow}
	case length < 0:
		return bodyPlan{held: maxHeldBody, window: body.MinWindow}
	}
	return bodyPlan{held: int(length)}
}

// readBody reads the body of a request until it is complete or has to be streamed. On an
// error it returns the status of the response.
func (f *frontend) readBody(exchange *exchange, r *http.Request, control *http.ResponseController) (int, error) {
	headerReadAt := time.Now()
	plan := planBody(r.ContentLength)
	memory, err := f.reserveBody(r.Context(), exchange, plan.held+plan.window)
	if err != nil {
		exchange.counts.dropped.Add(1)
		f.metrics.uploads.ended[noMemory].Add(1)
		return http.StatusServiceUnavailable, err
	}
	for name := range r.Trailer { // before the body is read: its end sets the values
		exchange.announcedTrailers = append(exchange.announcedTrailers, name)
	}
	remainder := newClientBody(r, control, headerReadAt, exchange.service.maxBodyBytes, &f.metrics.uploads.bytes)
	prefix := body.NewPrefix(remainder, r.ContentLength, plan.held)
	complete := false
	switch {
	case r.ContentLength < 0:
		complete, err = prefix.FillWithin(maxHoldTime)
	case plan.held > 0:
		complete, err = prefix.Fill()
	}
	switch {
	case err != nil:
		memory.Release()
		f.metrics.uploads.recordEnd(clientBodyCause(err), r.Header.Get(idHeader), err)
		return uploadStatus(err), fmt.Errorf("body: %w", err)
	case complete:
		exchange.completeAt = remainder.arrival.lastByteTime()
		exchange.body, exchange.trailer, exchange.memory = prefix.Held(), forwardableTrailers(r.Trailer), memory
		memory.Shrink(len(exchange.body))
	default:
		f.startUpload(exchange, r, prefix, remainder, memory)
	}
	return 0, nil
}

// startUpload lets attempts stream a body, whose start and window have the given memory.
func (f *frontend) startUpload(exchange *exchange, r *http.Request, prefix *body.Prefix, remainder *clientBody, memory *body.Reservation) {
	upload := &upload{request: r, length: r.ContentLength, clientTimeout: exchange.timeout, prefix: prefix, remainder: remainder,
		windowMemory: memory.Split(body.WindowBuffer, body.MinWindow), prefixMemory: memory}
	upload.window.Init(f.metrics.bodies, body.MinWindow)
	upload.onConsumed = func() { f.loop.post(bodyConsumed{exchange}) }
	upload.onComplete = func(until time.Time) { f.loop.post(bodyComplete{exchange, until}) }
	exchange.request.BodyPending, exchange.upload = true, upload
}

// reserveBody reserves memory for the body of a request. It waits for no longer than the client does: the
// whole body may have arrived already.
func (f *frontend) reserveBody(ctx context.Context, exchange *exchange, bytes int) (*body.Reservation, error) {
	if bytes <= body.UncountedBytes {
		return nil, nil
	}
	timeLeft := exchange.timeout - exchange.sinceLastByte() - seconds(responseMargin)
	ctx, cancel := context.WithTimeout(ctx, timeLeft)
	defer cancel()
	return f.metrics.bodies.Reserve(ctx, body.RequestStart, bytes)
}
