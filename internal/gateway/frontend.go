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
	mostHeader    = 16 << 10 // bytes
	mostName      = 256      // bytes of an id or a key
	mostPatience  = time.Hour
	headerTimeout = 2600 * time.Millisecond // a client may take 2 s; a peer that sends no request is owed an end within 3 s
	readTimeout   = 2800 * time.Millisecond // and one that stops short of a whole request as well
	writeTimeout  = 5 * time.Second         // for a short answer; a peer that takes none is owed an end within 6 s
	idleTimeout   = 2 * time.Minute
	readyPath     = "/health/ready"

	idHeader     = "X-Correlation-Id"
	classHeader  = "X-Service-Class"
	planHeader   = "X-Tier"
	clientHeader = "X-Api-Key"
	keyHeader    = "Idempotency-Key"
	termsHeader  = "X-Call-Terms"
	repeatHeader = "X-Repeat"

	customers = 1 << 33 // ids are below it
)

// exchange is one request of a client, from its last byte to its final answer.
type exchange struct {
	ask    rules.Request // the loop gives it its id
	method string
	uri    string
	host   string
	header http.Header // what goes on to a backend
	body   []byte      // the whole
	memory int         // of the budget, for the body
	upload *upload     // a body that is still to come; nil: body is all

	announced []string    // names of the body's trailers, as far as they are known
	trailer   http.Header // of a whole body; nil: none

	// reply takes the one final answer, and may take one of 1xx before; the loop
	// sends them and never waits.
	reply chan answer

	service *serviceConfig // that it was read under, and in it
	class   *rules.Class
	counts  *classCounts
	plan    string

	// The loop's own:
	queued   float64 // seconds until the loop took it in
	open     bool    // the final answer has not been given
	taken    bool    // its last byte has come
	begun    bool    // its answer is on the way to the client
	out      int     // attempts out
	attempts []*attempt
	reason   string // why it was rejected; empty: it was not
}

// abandon ends answers that nobody takes, as their handler has gone.
func (x *exchange) abandon(b *budget) {
	for {
		select {
		case a := <-x.reply:
			a.drop(b)
		default:
			return
		}
	}
}

// answer is what a client is told.
type answer struct {
	status     int
	served     bool    // a backend made it
	retryAfter float64 // seconds; 0: no advice
	header     http.Header
	trailer    http.Header // behind the body; nil: none
	body       []byte
	memory     int       // of the budget, for the body
	length     int64     // of the body, or -1
	rest       *download // the body, where it is let go; nil: it is whole
}

// drop frees what an answer takes that goes to nobody.
func (a answer) drop(b *budget) {
	b.give(a.memory)
	if a.rest != nil {
		a.rest.drop()
	}
}

// frontend serves clients.
type frontend struct {
	loop    *Loop
	service atomic.Pointer[serviceConfig]

	longestDeadline atomic.Int64 // of a class, nanoseconds: the shortest of all settings so far

	ready   atomic.Bool
	leaving atomic.Bool // connections are closed after their answer
	clients *clients
	figures *metrics
}

// server serves clients. The time for a body and for an answer depends on their
// length, and is set where they are read and written.
func (f *frontend) server() *http.Server {
	return &http.Server{Handler: f, MaxHeaderBytes: mostHeader, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnState: f.clients.connState, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, firstKey{}, &firstRequest{accepted: time.Now(), conn: c})
		}}
}

// takesClients is what "ready" means to the platform and to operators.
func (f *frontend) takesClients() bool { return f.ready.Load() && !f.leaving.Load() }

// firstRequest tells the first request on a connection from later ones. Its
// client's time counts from the connection, so that a slow head takes from it.
type firstRequest struct {
	accepted time.Time
	conn     net.Conn
	over     bool // read and set by one request after the other
}

type firstKey struct{}

// requestSince is when a request may have begun.
func requestSince(r *http.Request) time.Time {
	first, ok := r.Context().Value(firstKey{}).(*firstRequest)
	if !ok || first.over {
		return time.Now()
	}
	return first.accepted
}

func requestOver(r *http.Request) {
	if first, ok := r.Context().Value(firstKey{}).(*firstRequest); ok {
		first.over = true
	}
}

func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == readyPath {
		if !f.takesClients() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
		return
	}
	control := http.NewResponseController(w)
	defer requestOver(r)
	c := connOf(r)
	if c != nil && c.dropped() {
		c.reject(turnedAwayText) // the request has been read
		panic(http.ErrAbortHandler)
	}
	if c != nil && c.gone() {
		panic(http.ErrAbortHandler)
	}
	if c != nil && c.doubt() {
		w.Header().Set("Connection", "close")
		control.SetWriteDeadline(time.Now().Add(writeTimeout))
		http.Error(w, "the length of a request is told twice", http.StatusBadRequest)
		return
	}
	if r.ContentLength != 0 {
		// The answer may come before the end of the body, and the server reads a part
		// of what is left over.
		control.EnableFullDuplex()
		control.SetReadDeadline(requestSince(r).Add(readTimeout))
	}
	x, status, err := f.read(r, control)
	if err != nil {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close") // the rest of its body may still come
		}
		if errors.Is(err, errCrowded) {
			w.Header().Set("Retry-After", strconv.Itoa(budgetAdvice))
		}
		control.SetWriteDeadline(time.Now().Add(writeTimeout))
		http.Error(w, err.Error(), status)
		return
	}
	defer func() { f.figures.bodyBudget.give(x.memory) }()
	if x.upload != nil {
		defer x.upload.free()
	}
	if !f.loop.post(requestArrived{x}) {
		http.Error(w, "the gateway has stopped", http.StatusInternalServerError)
		return
	}
	f.await(w, r, x, control)
}

// await gives the client what the loop says, or tells the loop that it has left.
func (f *frontend) await(w http.ResponseWriter, r *http.Request, x *exchange, control *http.ResponseController) {
	var left <-chan struct{}
	c := connOf(r)
	if c != nil {
		left = c.ahead.left
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
			if f.leaving.Load() && (c == nil || !c.pipelined()) || !x.upload.over() || c != nil && c.ahead.full() {
				w.Header().Set("Connection", "close")
			}
			control.SetWriteDeadline(time.Now().Add(writeTimeout))
			if c != nil && !r.ProtoAtLeast(1, 1) {
				c.untold.Store(true)
			}
			err := f.write(a, x.header.Get(idHeader), w, control)
			if x.upload != nil {
				x.upload.close(control)
			}
			if err != nil {
				cutOff(r)
			}
		case <-left:
			if !f.loop.post(clientGone{x}) {
				x.abandon(&f.figures.bodyBudget)
			}
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			if !f.loop.post(clientGone{x}) {
				x.abandon(&f.figures.bodyBudget)
			}
		case <-f.loop.stopped:
			x.abandon(&f.figures.bodyBudget)
			http.Error(w, "the gateway has stopped", http.StatusInternalServerError)
		}
		return
	}
}

// connOf returns the connection of a request, if it is one of the gateway's own.
func connOf(r *http.Request) *clientConn {
	if first, ok := r.Context().Value(firstKey{}).(*firstRequest); ok {
		c, _ := first.conn.(*clientConn)
		return c
	}
	return nil
}

// cutOff ends the connection of a client whose answer is not whole. It must not
// take a part for the whole, as it would after a proper end in HTTP/1.0.
func cutOff(r *http.Request) {
	if c := connOf(r); c != nil && !r.ProtoAtLeast(1, 1) {
		c.reset()
	}
	panic(http.ErrAbortHandler)
}

// read takes a request in, as far as it is held, or says with which status it is
// turned down.
func (f *frontend) read(r *http.Request, control *http.ResponseController) (*exchange, int, error) {
	now := f.loop.clock.now()
	x := &exchange{method: r.Method, uri: originForm(r.RequestURI), host: r.Host, reply: make(chan answer, 2)}
	x.service = f.service.Load()
	ask, err := x.service.parse(r)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	class := &x.service.Classes[ask.Class]
	x.ask, x.class, x.counts, x.plan = ask, class, x.service.counts[ask.Class], x.service.PlanNames[ask.Plan]
	switch key := r.Header.Get(keyHeader); {
	case class.Effect == rules.Repeatable && r.Method != http.MethodGet && r.Method != http.MethodHead,
		class.Effect != rules.Repeatable && r.Method != http.MethodPost:
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("method %s does not fit the class", r.Method)
	case class.Effect == rules.ByKey && key == "":
		return nil, http.StatusBadRequest, errors.New(keyHeader + " is missing")
	case len(key) > mostName:
		return nil, http.StatusBadRequest, errors.New(keyHeader + " is too long")
	case x.service.maxBodyBytes > 0 && r.ContentLength > x.service.maxBodyBytes:
		return nil, http.StatusRequestEntityTooLarge, errTooLong
	}
	if r.ContentLength != 0 {
		if status, err := f.readBody(x, r, control); err != nil {
			return nil, status, err
		}
		now = f.loop.clock.now() // a request's time counts from its last byte
	}
	x.ask.Sent = now
	x.ask.Deadline += now - responseMargin
	x.header = passedOn(r.Header)
	delete(x.header, timeLeftHeader) // each attempt has its own
	return x, 0, nil
}

// readBody takes in the body of a request until it is whole or has to go on.
func (f *frontend) readBody(x *exchange, r *http.Request, control *http.ResponseController) (int, error) {
	long := r.ContentLength > mostHeld
	held := int(r.ContentLength)
	memory := held
	switch {
	case long:
		held, memory = 0, leastWindow
	case held < 0:
		held, memory = mostHeld, mostHeld+leastWindow
	}
	if memory > uncounted {
		if err := f.figures.bodyBudget.take(r.Context(), memory); err != nil {
			x.counts.dropped.Add(1)
			f.figures.uploads.ended[noMemory].Add(1)
			return http.StatusServiceUnavailable, err
		}
	} else {
		memory = 0
	}
	rest := newClientBody(r, control, x.service.maxBodyBytes, &f.figures.uploads.bytes)
	start := newIntake(rest, r.ContentLength, held)
	whole, err := false, error(nil)
	switch {
	case long:
	case r.ContentLength > 0:
		whole, err = start.fill()
	default:
		whole, err = fillFor(start, holdFor)
	}
	if err != nil {
		f.figures.bodyBudget.give(memory)
		f.figures.uploads.recordEnd(clientBodyCause(err), r.Header.Get(idHeader), err)
		return uploadStatus(err), fmt.Errorf("body: %w", err)
	}
	for name := range r.Trailer {
		x.announced = append(x.announced, name)
	}
	if whole {
		x.body, x.trailer, x.memory = start.held, trailers(r.Trailer), f.figures.bodyBudget.shrink(memory, len(start.held))
		return 0, nil
	}
	x.ask.Open = true
	x.upload = &upload{request: r, length: r.ContentLength, left: seconds(x.ask.Deadline), budget: &f.figures.bodyBudget,
		start: start, rest: rest, memory: held, window: window{budget: &f.figures.bodyBudget, own: leastWindow}}
	x.upload.whole = func(until time.Time) { f.loop.post(bodyComplete{x, until}) }
	return 0, nil
}

// fillFor fills an intake for so long. Longer than that, it goes on filling, and
// the body is let go.
func fillFor(in *intake, d time.Duration) (whole bool, err error) {
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
func (s *serviceConfig) parse(r *http.Request) (rules.Request, error) {
	var q rules.Request
	h := r.Header
	if id := h.Get(idHeader); id == "" || len(id) > mostName {
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
	customer := h.Get(clientHeader)
	n, err := strconv.ParseUint(customer, 16, 64)
	if err != nil || len(customer) != 16 || n >= customers {
		return q, errors.New(clientHeader + " is not the number of a customer")
	}
	q.Customer = rules.CustomerID(n)
	left, err := strconv.ParseInt(h.Get(timeLeftHeader), 10, 64)
	if err != nil || left <= 0 || left > mostPatience.Milliseconds() {
		return q, errors.New(timeLeftHeader + " is not a time in milliseconds")
	}
	q.Deadline = float64(left) / 1000 // from when it is whole
	q.Repeat = h.Get(repeatHeader) == "1"
	return q, s.terms(&q, h.Get(termsHeader))
}

// terms reads the units of a request and the gateways of its customer.
func (s *serviceConfig) terms(q *rules.Request, text string) error {
	for part := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		var err error
		switch key {
		case "units":
			q.Units, err = strconv.ParseFloat(value, 64)
		case "spread":
			q.Gateways, err = strconv.Atoi(value)
		case "first":
			q.FirstPeer, err = strconv.Atoi(value)
		}
		if err != nil {
			return fmt.Errorf("%s: %s is not a number", termsHeader, key)
		}
	}
	most := s.MaxUnits
	if most <= 0 {
		most = math.MaxInt32
	}
	if !(q.Units > 0 && q.Units <= most) || q.Gateways < 1 || q.Gateways > s.Fleet ||
		q.FirstPeer < 0 || q.FirstPeer >= s.Fleet {
		return errors.New(termsHeader + ": units, spread or first is missing or out of range")
	}
	return nil
}

// hopByHop are the headers that end at this gateway.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// passedOn returns the headers for the other side: all but those that belong to
// the connection. It uses up h.
func passedOn(h http.Header) http.Header {
	for _, named := range h["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name != idHeader && name != keyHeader {
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	return h
}

// trailers returns what goes on of the headers behind a body, or nil.
func trailers(h http.Header) http.Header {
	var kept http.Header
	for name, values := range h {
		if len(values) > 0 && !slices.Contains(hopByHop, name) {
			if kept == nil {
				kept = http.Header{}
			}
			kept[name] = values
		}
	}
	return kept
}

func (a answer) interim() bool { return a.status/100 == 1 }

// writeInterim passes a 1xx on, whose headers are its own.
func (a answer) writeInterim(w http.ResponseWriter) {
	h := w.Header()
	for k, v := range passedOn(a.header) {
		h[k] = v
	}
	w.WriteHeader(a.status)
	clear(h)
}

// write gives the answer to the client. An error says that it is not whole, and
// that the client can't tell so far.
func (f *frontend) write(a answer, id string, w http.ResponseWriter, control *http.ResponseController) error {
	defer f.figures.bodyBudget.give(a.memory)
	h := w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	if !a.served {
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
	if a.length < 0 && a.rest == nil && a.trailer == nil {
		a.length = int64(len(a.body))
	}
	if a.length >= 0 && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.FormatInt(a.length, 10)}
	}
	if a.rest == nil {
		addTrailers(h, a.trailer) // before the head, so that the body goes in chunks
		w.WriteHeader(a.status)
		w.Write(a.body) // an error means that the client has left
		return nil
	}
	return f.stream(a, id, w, control)
}

// stream gives an answer to the client that is let go.
func (f *frontend) stream(a answer, id string, w http.ResponseWriter, control *http.ResponseController) error {
	d := a.rest
	if !d.take() {
		return errCutShort // the loop has dropped it, as the client has left
	}
	f.figures.downloads.streaming.Add(1)
	defer f.figures.downloads.streaming.Add(-1)
	w.WriteHeader(a.status)
	outcome, err := rules.Cancelled, control.Flush()
	if err == nil {
		outcome, err = d.pass(w, control)
	}
	if outcome == rules.Served {
		addTrailers(w.Header(), d.trailers())
		if err = control.Flush(); err != nil {
			outcome = rules.Cancelled
		}
	}
	switch outcome {
	case rules.Served:
		f.figures.downloads.recordEnd(transferComplete, "", nil)
	case rules.Cancelled:
		f.figures.downloads.recordEnd(timeoutCause(err, clientSlow, clientLeft), id, err)
	default:
		f.figures.downloads.recordEnd(timeoutCause(err, backendSlow, backendBroken), id, err)
	}
	d.end <- outcome
	return err
}

// addTrailers puts headers behind a body.
func addTrailers(h, trailer http.Header) {
	for name, values := range trailer {
		h[http.TrailerPrefix+name] = values
	}
}
