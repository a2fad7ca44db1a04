package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dunlintray/rules"
)

const (
	maxHeaderBytes   = 16 << 10 // bytes
	maxIDBytes       = 256      // bytes of an id or a key
	maxClientTimeout = time.Hour
	headerTimeout    = 2600 * time.Millisecond // a client may take 2 s; a peer that sends no request is owed an end within 3 s
	readTimeout      = 2800 * time.Millisecond // and one that stops short of a whole request as well
	writeTimeout     = 5 * time.Second         // for a short answer; a peer that takes none is owed an end within 6 s
	idleTimeout      = 2 * time.Minute
	readyPath        = "/health/ready"

	idHeader          = "X-Correlation-Id"
	classHeader       = "X-Service-Class"
	planHeader        = "X-Tier"
	customerHeader    = "X-Api-Key"
	idempotencyHeader = "Idempotency-Key"
	termsHeader       = "X-Call-Terms"
	repeatHeader      = "X-Repeat"

	customerIDLimit = 1 << 33 // ids are below it
)

// exchange is one request of a client, from its last byte to its final answer.
type exchange struct {
	request        rules.Request // the loop gives it its id
	method         string
	uri            string
	host           string
	header         http.Header // what goes on to a backend
	body           []byte      // the whole
	reservedMemory int         // of the budget, for the body
	upload         *upload     // a body that is still to come; nil: body is all

	announcedTrailers []string    // names of the body's trailers, as far as they are known
	trailer           http.Header // of a whole body; nil: none

	// reply takes the one final answer, and may take one of 1xx before; the loop
	// sends them and never waits.
	reply chan response

	service *serviceConfig // that it was read under, and in it
	class   *rules.Class
	counts  *classCounts
	plan    string

	// The loop's own:
	queueDelay      float64 // seconds until the loop took it in
	inProgress      bool    // the final answer has not been given
	accepted        bool    // its last byte has come
	responseStarted bool    // its answer is on the way to the client
	inFlight        int     // attempts out
	attempts        []*attempt
	rejectReason    string // why it was rejected; empty: it was not
}

// abandon ends answers that nobody takes, as their handler has gone.
func (x *exchange) discardReplies(b *budget) {
	for {
		select {
		case a := <-x.reply:
			a.discard(b)
		default:
			return
		}
	}
}

// answer is what a client is told.
type response struct {
	status         int
	fromBackend    bool    // a backend made it
	retryAfter     float64 // seconds; 0: no advice
	header         http.Header
	trailer        http.Header // behind the body; nil: none
	body           []byte
	reservedMemory int       // of the budget, for the body
	length         int64     // of the body, or -1
	download       *download // the body, where it is let go; nil: it is whole
}

// drop frees what an answer takes that goes to nobody.
func (a response) discard(b *budget) {
	b.release(a.reservedMemory)
	if a.download != nil {
		a.download.discard()
	}
}

// frontend serves clients.
type frontend struct {
	loop    *Loop
	service atomic.Pointer[serviceConfig]

	longestDeadline atomic.Int64 // of a class, nanoseconds: the shortest of all settings so far

	ready        atomic.Bool
	shuttingDown atomic.Bool // connections are closed after their answer
	clients      *clientListener
	metrics      *metrics
}

// server serves clients. The time for a body and for an answer depends on their
// length, and is set where they are read and written.
func (f *frontend) server() *http.Server {
	return &http.Server{Handler: f, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnState: f.clients.connState, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connInfoKey{}, &connInfo{acceptedAt: time.Now(), conn: c})
		}}
}

// takesClients is what "ready" means to the platform and to operators.
func (f *frontend) acceptsClients() bool { return f.ready.Load() && !f.shuttingDown.Load() }

// firstRequest tells the first request on a connection from later ones. Its
// client's time counts from the connection, so that a slow head takes from it.
type connInfo struct {
	acceptedAt       time.Time
	conn             net.Conn
	firstRequestDone bool // read and set by one request after the other
}

type connInfoKey struct{}

// requestSince is when a request may have begun.
func requestStart(r *http.Request) time.Time {
	first, ok := r.Context().Value(connInfoKey{}).(*connInfo)
	if !ok || first.firstRequestDone {
		return time.Now()
	}
	return first.acceptedAt
}

func markRequestDone(r *http.Request) {
	if first, ok := r.Context().Value(connInfoKey{}).(*connInfo); ok {
		first.firstRequestDone = true
	}
}

func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.shuttingDown.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == readyPath {
		if !f.acceptsClients() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
		return
	}
	control := http.NewResponseController(w)
	defer markRequestDone(r)
	c := connOf(r)
	if c != nil && c.wasEvicted() {
		c.rejectRequest(unavailableResponse) // the request has been read
		panic(http.ErrAbortHandler)
	}
	if c != nil && c.peerClosed() {
		panic(http.ErrAbortHandler)
	}
	if c != nil && c.ambiguousFraming() {
		w.Header().Set("Connection", "close")
		control.SetWriteDeadline(time.Now().Add(writeTimeout))
		http.Error(w, "the length of a request is told twice", http.StatusBadRequest)
		return
	}
	if r.ContentLength != 0 {
		// The answer may come before the end of the body, and the server reads a part
		// of what is left over.
		control.EnableFullDuplex()
		control.SetReadDeadline(requestStart(r).Add(readTimeout))
	}
	x, status, err := f.read(r, control)
	if err != nil {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close") // the rest of its body may still come
		}
		if errors.Is(err, errNoBodyMemory) {
			w.Header().Set("Retry-After", strconv.Itoa(budgetRetryAfter))
		}
		control.SetWriteDeadline(time.Now().Add(writeTimeout))
		http.Error(w, err.Error(), status)
		return
	}
	defer func() { f.metrics.bodyBudget.release(x.reservedMemory) }()
	if x.upload != nil {
		defer x.upload.releaseMemory()
	}
	if !f.loop.post(requestArrived{x}) {
		http.Error(w, "the gateway has stopped", http.StatusInternalServerError)
		return
	}
	f.awaitResponse(w, r, x, control)
}

// await gives the client what the loop says, or tells the loop that it has left.
func (f *frontend) awaitResponse(w http.ResponseWriter, r *http.Request, x *exchange, control *http.ResponseController) {
	var left <-chan struct{}
	c := connOf(r)
	if c != nil {
		left = c.readAhead.peerClosed
	}
	for {
		select {
		case a := <-x.reply:
			if a.interim() {
				if r.ProtoAtLeast(1, 1) {
					control.SetWriteDeadline(time.Now().Add(writeTimeout))
					a.writeInterim(w)
				}
				continue
			}
			w.Header().Del("Connection")
			if f.shuttingDown.Load() && (c == nil || !c.pipelined()) || !x.upload.complete() || c != nil && c.readAhead.full() {
				w.Header().Set("Connection", "close")
			}
			control.SetWriteDeadline(time.Now().Add(writeTimeout))
			if c != nil && !r.ProtoAtLeast(1, 1) {
				c.closeDelimited.Store(true)
			}
			err := f.writeResponse(a, x.header.Get(idHeader), w, control)
			if x.upload != nil {
				x.upload.close(control)
			}
			if err != nil {
				abortConnection(r)
			}
		case <-left:
			if !f.loop.post(clientGone{x}) {
				x.discardReplies(&f.metrics.bodyBudget)
			}
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			if !f.loop.post(clientGone{x}) {
				x.discardReplies(&f.metrics.bodyBudget)
			}
		case <-f.loop.stopped:
			x.discardReplies(&f.metrics.bodyBudget)
			http.Error(w, "the gateway has stopped", http.StatusInternalServerError)
		}
		return
	}
}

// connOf returns the connection of a request, if it is one of the gateway's own.
func connOf(r *http.Request) *clientConn {
	if first, ok := r.Context().Value(connInfoKey{}).(*connInfo); ok {
		c, _ := first.conn.(*clientConn)
		return c
	}
	return nil
}

// cutOff ends the connection of a client whose answer is not whole. It must not
// take a part for the whole, as it would after a proper end in HTTP/1.0.
func abortConnection(r *http.Request) {
	if c := connOf(r); c != nil && !r.ProtoAtLeast(1, 1) {
		c.reset()
	}
	panic(http.ErrAbortHandler)
}

// read takes a request in, as far as it is held, or says with which status it is
// turned down.
func (f *frontend) read(r *http.Request, control *http.ResponseController) (*exchange, int, error) {
	now := f.loop.clock.now()
	x := &exchange{method: r.Method, uri: originForm(r.RequestURI), host: r.Host, reply: make(chan response, 2)}
	x.service = f.service.Load()
	ask, err := x.service.parseRequest(r)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	class := &x.service.Classes[ask.Class]
	x.request, x.class, x.counts, x.plan = ask, class, x.service.counts[ask.Class], x.service.PlanNames[ask.Plan]
	switch key := r.Header.Get(idempotencyHeader); {
	case class.Effect == rules.Repeatable && r.Method != http.MethodGet && r.Method != http.MethodHead,
		class.Effect != rules.Repeatable && r.Method != http.MethodPost:
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("method %s does not fit the class", r.Method)
	case class.Effect == rules.ByKey && key == "":
		return nil, http.StatusBadRequest, errors.New(idempotencyHeader + " is missing")
	case len(key) > maxIDBytes:
		return nil, http.StatusBadRequest, errors.New(idempotencyHeader + " is too long")
	case x.service.maxBodyBytes > 0 && r.ContentLength > x.service.maxBodyBytes:
		return nil, http.StatusRequestEntityTooLarge, errBodyTooLong
	}
	if r.ContentLength != 0 {
		if status, err := f.readBody(x, r, control); err != nil {
			return nil, status, err
		}
		now = f.loop.clock.now() // a request's time counts from its last byte
	}
	x.request.Sent = now
	x.request.Deadline += now - responseMargin
	x.header = endToEndHeaders(r.Header)
	delete(x.header, timeLeftHeader) // each attempt has its own
	return x, 0, nil
}

// readBody takes in the body of a request until it is whole or has to go on.
func (f *frontend) readBody(x *exchange, r *http.Request, control *http.ResponseController) (int, error) {
	long := r.ContentLength > maxHeldBody
	held := int(r.ContentLength)
	memory := held
	switch {
	case long:
		held, memory = 0, minWindow
	case held < 0:
		held, memory = maxHeldBody, maxHeldBody+minWindow
	}
	if memory > uncountedBytes {
		if err := f.metrics.bodyBudget.reserve(r.Context(), memory); err != nil {
			x.counts.dropped.Add(1)
			f.metrics.uploads.ended[noMemory].Add(1)
			return http.StatusServiceUnavailable, err
		}
	} else {
		memory = 0
	}
	rest := newClientBody(r, control, x.service.maxBodyBytes, &f.metrics.uploads.bytes)
	start := newBodyPrefix(rest, r.ContentLength, held)
	whole, err := false, error(nil)
	switch {
	case long:
	case r.ContentLength > 0:
		whole, err = start.fill()
	default:
		whole, err = fillWithin(start, maxHoldTime)
	}
	if err != nil {
		f.metrics.bodyBudget.release(memory)
		f.metrics.uploads.recordEnd(clientBodyCause(err), r.Header.Get(idHeader), err)
		return uploadStatus(err), fmt.Errorf("body: %w", err)
	}
	for name := range r.Trailer {
		x.announcedTrailers = append(x.announcedTrailers, name)
	}
	if whole {
		x.body, x.trailer, x.reservedMemory = start.held, forwardableTrailers(r.Trailer), f.metrics.bodyBudget.shrink(memory, len(start.held))
		return 0, nil
	}
	x.request.BodyPending = true
	x.upload = &upload{request: r, length: r.ContentLength, clientTimeout: seconds(x.request.Deadline), budget: &f.metrics.bodyBudget,
		prefix: start, remainder: rest, memory: held, window: window{budget: &f.metrics.bodyBudget, prepaid: minWindow}}
	x.upload.onComplete = func(until time.Time) { f.loop.post(bodyComplete{x, until}) }
	return 0, nil
}

// fillFor fills an intake for so long. Longer than that, it goes on filling, and
// the body is let go.
func fillWithin(in *bodyPrefix, d time.Duration) (whole bool, err error) {
	type end struct {
		whole bool
		err   error
	}
	ended := make(chan end, 1)
	go func() { whole, err := in.fill(); ended <- end{whole, err} }()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case e := <-ended:
		return e.whole, e.err
	case <-timer.C:
	}
	if in.release() {
		return false, nil
	}
	e := <-ended
	return e.whole, e.err
}

// originForm takes the address off a request target that has one; to a backend
// goes what is left.
func originForm(target string) string {
	if _, rest, absolute := strings.Cut(target, "://"); absolute && !strings.HasPrefix(target, "/") {
		_, path, _ := strings.Cut(rest, "/")
		if at := strings.IndexByte(rest, '?'); at >= 0 && at < len(rest)-len(path)-1 {
			path = rest[at:] // a query with no path before it
		}
		return "/" + path
	}
	return target
}

// parse reads the headers that the decisions need. Nothing has a default: a
// request that is not understood might be charged to the wrong customer or
// repeated against its class.
func (s *serviceConfig) parseRequest(r *http.Request) (rules.Request, error) {
	var q rules.Request
	h := r.Header
	if id := h.Get(idHeader); id == "" || len(id) > maxIDBytes {
		return q, errors.New(idHeader + " is missing or too long")
	}
	class := h.Get(classHeader)
	if q.Class = slices.Index(s.ClassNames, class); q.Class < 0 {
		return q, errors.New(classHeader + " names no class")
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != class || strings.HasPrefix(r.RequestURI, "//") {
		return q, errors.New("the path is not one of the class")
	}
	if q.Plan = slices.Index(s.PlanNames, h.Get(planHeader)); q.Plan < 0 {
		return q, errors.New(planHeader + " names no plan")
	}
	customer := h.Get(customerHeader)
	n, err := strconv.ParseUint(customer, 16, 64)
	if err != nil || len(customer) != 16 || n >= customerIDLimit {
		return q, errors.New(customerHeader + " is not the number of a customer")
	}
	q.Customer = rules.CustomerID(n)
	left, err := strconv.ParseInt(h.Get(timeLeftHeader), 10, 64)
	if err != nil || left <= 0 || left > maxClientTimeout.Milliseconds() {
		return q, errors.New(timeLeftHeader + " is not a time in milliseconds")
	}
	q.Deadline = float64(left) / 1000 // from when it is whole
	q.ClientRetry = h.Get(repeatHeader) == "1"
	return q, s.parseTerms(&q, h.Get(termsHeader))
}

// terms reads the units of a request and the gateways of its customer.
func (s *serviceConfig) parseTerms(q *rules.Request, text string) error {
	for part := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		var err error
		switch key {
		case "units":
			q.Units, err = strconv.ParseFloat(value, 64)
		case "spread":
			q.GatewayCount, err = strconv.Atoi(value)
		case "first":
			q.FirstGateway, err = strconv.Atoi(value)
		}
		if err != nil {
			return fmt.Errorf("%s: %s is not a number", termsHeader, key)
		}
	}
	most := s.MaxUnits
	if most <= 0 {
		most = math.MaxInt32
	}
	if !(q.Units > 0 && q.Units <= most) || q.GatewayCount < 1 || q.GatewayCount > s.Fleet ||
		q.FirstGateway < 0 || q.FirstGateway >= s.Fleet {
		return errors.New(termsHeader + ": units, spread or first is missing or out of range")
	}
	return nil
}

// hopByHop are the headers that end at this gateway.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// passedOn returns the headers for the other side: all but those that belong to
// the connection. It uses up h.
func endToEndHeaders(h http.Header) http.Header {
	for _, named := range h["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name != idHeader && name != idempotencyHeader {
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	return h
}

// trailers returns what goes on of the headers behind a body, or nil.
func forwardableTrailers(h http.Header) http.Header {
	var kept http.Header
	for name, values := range h {
		if len(values) > 0 && !slices.Contains(hopByHopHeaders, name) {
			if kept == nil {
				kept = http.Header{}
			}
			kept[name] = values
		}
	}
	return kept
}

func (a response) interim() bool { return a.status/100 == 1 }

// writeInterim passes a 1xx on, whose headers are its own.
func (a response) writeInterim(w http.ResponseWriter) {
	h := w.Header()
	for k, v := range endToEndHeaders(a.header) {
		h[k] = v
	}
	w.WriteHeader(a.status)
	clear(h)
}

// write gives the answer to the client. An error says that it is not whole, and
// that the client can't tell so far.
func (f *frontend) writeResponse(a response, id string, w http.ResponseWriter, control *http.ResponseController) error {
	defer f.metrics.bodyBudget.release(a.reservedMemory)
	h := w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	if !a.fromBackend {
		if a.retryAfter > 0 {
			h["Retry-After"] = []string{strconv.FormatFloat(math.Ceil(a.retryAfter*1000)/1000, 'f', -1, 64)}
		}
		h["Content-Length"] = []string{"0"}
		w.WriteHeader(a.status)
		return nil
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // the backend named none, and guessing costs time
	}
	if a.length < 0 && a.download == nil && a.trailer == nil {
		a.length = int64(len(a.body))
	}
	if a.length >= 0 && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.FormatInt(a.length, 10)}
	}
	if a.download == nil {
		addTrailers(h, a.trailer) // before the head, so that the body goes in chunks
		w.WriteHeader(a.status)
		w.Write(a.body) // an error means that the client has left
		return nil
	}
	return f.streamResponse(a, id, w, control)
}

// stream gives an answer to the client that is let go.
func (f *frontend) streamResponse(a response, id string, w http.ResponseWriter, control *http.ResponseController) error {
	d := a.download
	if !d.claim() {
		return errUploadAborted // the loop has dropped it, as the client has left
	}
	f.metrics.downloads.streaming.Add(1)
	defer f.metrics.downloads.streaming.Add(-1)
	w.WriteHeader(a.status)
	outcome, err := rules.Cancelled, control.Flush()
	if err == nil {
		outcome, err = d.copyTo(w, control)
	}
	if outcome == rules.Served {
		addTrailers(w.Header(), d.trailers())
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
	d.done <- outcome
	return err
}

// addTrailers puts headers behind a body.
func addTrailers(h, trailer http.Header) {
	for name, values := range trailer {
		h[http.TrailerPrefix+name] = values
	}
}
