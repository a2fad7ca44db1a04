package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"dunlintray/internal/gateway/body"
	"dunlintray/rules"
)

const (
	maxHeaderBytes   = 16 << 10
	maxIDBytes       = 256 // of a correlation id or an idempotency key
	maxClientTimeout = time.Hour
	headerTimeout    = 2600 * time.Millisecond // a client may take 2 s; one that sends no request is disconnected within 3 s
	readTimeout      = 2800 * time.Millisecond // a client that stops in the middle of a request is disconnected within 3 s
	writeTimeout     = 5 * time.Second         // for a short response; a client that reads none is disconnected within 6 s
	idleTimeout      = 2 * time.Minute
	memoryRetryAfter = 1 // seconds, for the Retry-After header of a request whose body found no memory
	readyPath        = "/health/ready"

	idHeader          = "X-Correlation-Id"
	classHeader       = "X-Service-Class"
	planHeader        = "X-Tier"
	customerHeader    = "X-Api-Key" // customer id, 16 hexadecimal digits
	idempotencyHeader = "Idempotency-Key"
	termsHeader       = "X-Call-Terms" // units of the request, and the gateways that serve its customer
	clientRetryHeader = "X-Repeat"     // "1" if the client sends the request again

	customerIDLimit = 1 << 33 // exclusive
)

// exchange is one request of a client and its response.
type exchange struct {
	request rules.Request // the loop sets its id
	conn    *clientConn   // nil if the client's connection is of another type
	method  string
	uri     string
	host    string
	header  http.Header       // headers to forward to a backend
	body    []byte            // complete body, unless upload is set
	memory  *body.Reservation // of body
	upload  *upload           // body that is still arriving; nil if body is complete

	announcedTrailers []string    // names from the Trailer header
	trailer           http.Header // trailers of a complete body; nil: none

	// responses receives at most one 1xx response and then the final response. It has room
	// for both, so that the loop never blocks on it.
	responses chan response

	timeout    time.Duration  // the client waits this long for the response, from its last byte on
	completeAt time.Time      // when the last byte of a held body can have been sent; zero: there is none
	service    *serviceConfig // configuration that the request was parsed with
	class      *rules.Class   // class, counts and plan belong to service
	counts     *classCounts
	plan       string

	// Owned by the loop:
	queueDelay      float64 // seconds between the last byte and the loop's receipt
	inProgress      bool    // the final response has not been sent
	accepted        bool    // the last byte of the request has arrived
	responseStarted bool    // a response is being streamed to the client
	inFlight        int     // attempts in flight
	attempts        []*attempt
	timers          []*timer // of the decision module
	bodyTimer       *timer   // for the time by which a body that is arriving must have been forwarded
	rejectReason    string   // empty if the request was not rejected
}

// clientGone reports whether the client has disconnected. It also finds an end of the connection
// that stands behind unread bytes.
func (x *exchange) clientGone() bool {
	return x.conn != nil && (x.conn.peerClosed() || closedByPeerState(x.conn.Conn))
}

// sinceLastByte returns how long ago the last byte of a request that has been read can have been
// sent.
func (x *exchange) sinceLastByte() (elapsed time.Duration) {
	if x.conn != nil {
		elapsed = x.conn.sinceArrival()
	}
	if !x.completeAt.IsZero() {
		elapsed = max(elapsed, time.Since(x.completeAt))
	}
	return elapsed
}

// discardResponses discards responses whose handler has returned.
func (x *exchange) discardResponses() {
	for {
		select {
		case unsent := <-x.responses:
			unsent.discard()
		default:
			return
		}
	}
}

// response is an interim (1xx) or final response to a client.
type response struct {
	status      int
	fromBackend bool    // false if the gateway generated it
	clientGone  bool    // nobody waits for it: the connection is aborted
	retryAfter  float64 // seconds; 0: no Retry-After header
	header      http.Header
	trailer     http.Header // nil: none
	body        []byte
	memory      *body.Reservation // of body
	length      int64             // of the body in bytes; -1 if unknown
	download    *download         // body that is streamed; nil if body is complete
}

// discard releases the resources of a response that is not sent.
func (r response) discard() {
	r.memory.Release()
	if r.download != nil {
		r.download.discard()
	}
}

// frontend is the HTTP handler for client requests.
type frontend struct {
	loop    *Loop
	service atomic.Pointer[serviceConfig]

	// longestDeadline is the longest deadline of a class in nanoseconds, taken from
	// the settings for which it was shortest since the start.
	longestDeadline atomic.Int64

	ready        atomic.Bool
	shuttingDown atomic.Bool // connections are closed after their response
	clients      *clientListener
	metrics      *metrics
	pacer        *answerPacer                         // nil: local answers are not paced
	claim        func(identity uint64) (granted bool) // nil: there is never a sibling process
}

// server returns the HTTP server for clients. The deadlines for bodies and responses
// depend on their length and are set where they are read and written.
func (f *frontend) server() *http.Server {
	return &http.Server{Handler: f, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnState: f.clients.connState, ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connInfoKey{}, &connInfo{acceptedAt: time.Now(), conn: conn})
		}}
}

// acceptsClients reports whether the gateway is ready to serve clients.
func (f *frontend) acceptsClients() bool { return f.ready.Load() && !f.shuttingDown.Load() }

// connInfo is the context value of a connection. The read timeout of the first request
// counts from acceptedAt, so that a slow header uses up part of it.
type connInfo struct {
	acceptedAt       time.Time
	conn             net.Conn
	firstRequestDone bool // requests on a connection are served one at a time
}

type connInfoKey struct{}

// requestStart returns the earliest time at which a request can have begun.
func requestStart(r *http.Request) time.Time {
	info, ok := r.Context().Value(connInfoKey{}).(*connInfo)
	if !ok || info.firstRequestDone {
		return time.Now()
	}
	return info.acceptedAt
}

// markRequestDone records that the first request on the connection has been served.
func markRequestDone(r *http.Request) {
	if info, ok := r.Context().Value(connInfoKey{}).(*connInfo); ok {
		info.firstRequestDone = true
	}
}

// ServeHTTP implements http.Handler.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.shuttingDown.Load() {
		w.Header().Set("Connection", "close")
	}
	conn := connOf(r)
	if r.URL.Path == readyPath {
		f.paceLocalAnswer(conn, maxInvalidPause)
		if !f.acceptsClients() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
		return
	}
	control := http.NewResponseController(w)
	defer markRequestDone(r)
	if conn != nil && conn.wasEvicted() {
		conn.rejectRequest(unavailableResponse) // the request was read before the eviction
		panic(http.ErrAbortHandler)
	}
	if conn != nil && conn.peerClosed() {
		panic(http.ErrAbortHandler)
	}
	if conn != nil && conn.ambiguousFraming() {
		f.paceLocalAnswer(conn, maxInvalidPause)
		w.Header().Set("Connection", "close")
		control.SetWriteDeadline(time.Now().Add(writeTimeout))
		http.Error(w, "the length of a request is told twice", http.StatusBadRequest)
		return
	}
	if r.ContentLength != 0 {
		// The response may precede the end of the body, and net/http otherwise reads
		// part of the remaining body first.
		control.EnableFullDuplex()
		control.SetReadDeadline(requestStart(r).Add(readTimeout))
	}
	exchange, status, err := f.read(r, control)
	if err != nil {
		noMemory := errors.Is(err, body.ErrNoMemory)
		maxPause := maxInvalidPause
		if noMemory {
			maxPause = maxRejectionPause // the request is valid, and its client waits
		}
		f.paceLocalAnswer(conn, maxPause)
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close") // the rest of the body may still arrive
		}
		if noMemory {
			w.Header().Set("Retry-After", strconv.Itoa(memoryRetryAfter))
		}
		control.SetWriteDeadline(time.Now().Add(writeTimeout))
		http.Error(w, err.Error(), status)
		return
	}
	defer exchange.memory.Release()
	if exchange.upload != nil {
		defer exchange.upload.releaseMemory()
	}
	if f.claim != nil && !exchange.replayable() && !f.claim(exchange.request.Identity) {
		exchange.counts.badGateway.Add(1)
		f.metrics.rejected[rules.RejectedReplay].Add(1)
		if exchange.upload != nil {
			w.Header().Set("Connection", "close") // the rest of the body may still arrive
		}
		http.Error(w, "the other process has this request", http.StatusBadGateway)
		return
	}
	if !f.loop.post(requestArrived{exchange}) {
		http.Error(w, "the gateway has stopped", http.StatusInternalServerError)
		return
	}
	f.awaitResponse(w, r, exchange, control)
}

// awaitResponse sends the client the responses of the loop. It notifies the loop if the
// client disconnects first.
func (f *frontend) awaitResponse(w http.ResponseWriter, r *http.Request, exchange *exchange, control *http.ResponseController) {
	var peerClosed <-chan struct{}
	conn := connOf(r)
	if conn != nil {
		peerClosed = conn.readAhead.peerClosed
	}
	for {
		select {
		case response := <-exchange.responses:
			if response.interim() {
				if r.ProtoAtLeast(1, 1) {
					control.SetWriteDeadline(time.Now().Add(writeTimeout))
					response.writeInterim(w)
				}
				continue
			}
			if response.clientGone {
				panic(http.ErrAbortHandler)
			}
			if !response.fromBackend {
				f.paceLocalAnswer(conn, rejectionPause(exchange.timeout))
			}
			w.Header().Del("Connection")
			if f.shuttingDown.Load() && (conn == nil || !conn.pipelined()) || !exchange.upload.complete() {
				w.Header().Set("Connection", "close")
			}
			control.SetWriteDeadline(time.Now().Add(writeTimeout))
			if conn != nil && !r.ProtoAtLeast(1, 1) {
				conn.closeDelimited.Store(true)
			}
			err := f.writeResponse(response, exchange.header.Get(idHeader), w, control)
			if exchange.upload != nil {
				exchange.upload.close(control)
			}
			if err != nil {
				abortConnection(r)
			}
		case <-peerClosed:
			if !f.loop.post(clientGone{exchange}) {
				exchange.discardResponses()
			}
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			if !f.loop.post(clientGone{exchange}) {
				exchange.discardResponses()
			}
		case <-f.loop.stopped:
			exchange.discardResponses()
			http.Error(w, "the gateway has stopped", http.StatusInternalServerError)
		}
		return
	}
}

// connOf returns the connection of a request, or nil if it is not a *clientConn.
func connOf(r *http.Request) *clientConn {
	if info, ok := r.Context().Value(connInfoKey{}).(*connInfo); ok {
		conn, _ := info.conn.(*clientConn)
		return conn
	}
	return nil
}

// abortConnection aborts a connection whose response is incomplete. An HTTP/1.0 client
// would take an orderly close for the end of the response, so it gets a reset.
func abortConnection(r *http.Request) {
	if conn := connOf(r); conn != nil && !r.ProtoAtLeast(1, 1) {
		conn.reset()
	}
	panic(http.ErrAbortHandler)
}

// read parses a request and reads its body as far as it is held in memory. On an error
// it returns the status of the response.
func (f *frontend) read(r *http.Request, control *http.ResponseController) (*exchange, int, error) {
	exchange := &exchange{conn: connOf(r), method: r.Method, uri: originForm(r.RequestURI), host: r.Host, responses: make(chan response, 2)}
	exchange.service = f.service.Load()
	request, err := exchange.service.parseRequest(r)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	exchange.timeout = seconds(request.Deadline)
	class := &exchange.service.Classes[request.Class]
	exchange.request, exchange.class, exchange.counts, exchange.plan = request, class, exchange.service.counts[request.Class], exchange.service.PlanNames[request.Plan]
	switch key := r.Header.Get(idempotencyHeader); {
	case class.Effect == rules.Repeatable && r.Method != http.MethodGet && r.Method != http.MethodHead,
		class.Effect != rules.Repeatable && r.Method != http.MethodPost:
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("method %s does not fit the class", r.Method)
	case class.Effect == rules.ByKey && key == "":
		return nil, http.StatusBadRequest, errors.New(idempotencyHeader + " is missing")
	case len(key) > maxIDBytes:
		return nil, http.StatusBadRequest, errors.New(idempotencyHeader + " is too long")
	case exchange.service.maxBodyBytes > 0 && r.ContentLength > exchange.service.maxBodyBytes:
		return nil, http.StatusRequestEntityTooLarge, errBodyTooLong
	}
	if r.ContentLength != 0 {
		if status, err := f.readBody(exchange, r, control); err != nil {
			return nil, status, err
		}
	}
	now := f.loop.clock.now()
	now -= exchange.sinceLastByte().Seconds()
	exchange.request.Identity = requestIdentity(r.Header.Get(idHeader))
	exchange.request.Sent = now
	exchange.request.Deadline += now - responseMargin
	exchange.header = endToEndHeaders(r.Header)
	delete(exchange.header, timeLeftHeader) // each attempt sets its own
	return exchange, 0, nil
}
