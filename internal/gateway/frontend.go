package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"linnetbend/rules"
)

const (
	mostHeader    = 16 << 10 // bytes
	mostName      = 256      // bytes of an id or a key
	mostPatience  = time.Hour
	headerTimeout = 2600 * time.Millisecond // a client may take 2 s; a peer that sends no request is owed an end within 3 s
	readTimeout   = 2800 * time.Millisecond // and one that stops short of a whole request as well
	writeTimeout  = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	crowdTellGap  = time.Second
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
	body   []byte      // the whole, or the start of what upload goes on with
	upload *upload     // nil: the body is whole

	// reply takes the one final answer; the loop sends it and never waits.
	reply chan answer

	service *service // that it was read under, and in it
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
}

// abandon ends an answer that nobody takes, after the loop has ended.
func (x *exchange) abandon() {
	select {
	case a := <-x.reply:
		if a.rest != nil {
			a.rest.finish(rules.Cancelled)
		}
	default:
	}
}

// answer is what a client is told.
type answer struct {
	status     int
	retryAfter float64 // seconds; 0: no advice
	header     http.Header
	body       []byte
	length     int64     // of a body with a rest, or -1
	rest       *download // what comes after body; nil: nothing
}

// frontend serves clients.
type frontend struct {
	loop      *Loop
	service   atomic.Pointer[service]
	ready     atomic.Bool
	leaving   atomic.Bool // connections are closed after their answer
	mostConns int         // above it, connections are closed after their answer
	bodies    budget

	mu     sync.Mutex
	conns  int                   // open
	fresh  map[net.Conn]struct{} // of these, those on which nothing has come yet
	busy   int                   // of these, those with a request
	toldAt time.Time             // of the last line about a crowd
}

// server serves clients. The time for a body and for an answer depends on their
// length, and is set where they are read and written.
func (f *frontend) server() *http.Server {
	s := &http.Server{Handler: f, MaxHeaderBytes: mostHeader, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnState: f.connState, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, firstKey{}, &firstRequest{accepted: time.Now()})
		}}
	s.RegisterOnShutdown(f.closeFresh)
	return s
}

// takesClients is what "ready" means to the platform and to operators.
func (f *frontend) takesClients() bool { return f.ready.Load() && !f.leaving.Load() }

// firstRequest tells the first request on a connection from later ones. Its
// client's time counts from the connection, so that a slow head takes from it.
type firstRequest struct {
	accepted time.Time
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

func (f *frontend) connState(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.fresh, c)
	switch s {
	case http.StateNew:
		f.conns++
		f.fresh[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		f.conns--
	}
}

// closeFresh closes the connections that no request has come on. The server
// counts them as busy for seconds, and would hold up the gateway's end for them.
func (f *frontend) closeFresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.fresh {
		c.Close()
	}
}

// keep sets how many connections may be kept open after their answer.
func (f *frontend) keep(most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mostConns = most
}

// crowded tells whether clients should make do with fewer connections.
func (f *frontend) crowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns <= f.mostConns || f.leaving.Load() {
		return false
	}
	if now := time.Now(); now.Sub(f.toldAt) >= crowdTellGap {
		f.toldAt = now
		slog.Warn("many connections of clients", "open", f.conns, "silent", len(f.fresh), "busy", f.busy)
	}
	return true
}

func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.busy++
	f.mu.Unlock()
	defer func() { f.mu.Lock(); f.busy--; f.mu.Unlock() }()
	if f.leaving.Load() || f.crowded() {
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
		control.SetWriteDeadline(time.Now().Add(writeTimeout))
		http.Error(w, err.Error(), status)
		return
	}
	if x.upload != nil {
		defer f.bodies.give()
	}
	if !f.loop.post(arrival{x}) {
		http.Error(w, "the gateway has stopped", http.StatusInternalServerError)
		return
	}
	select {
	case a := <-x.reply:
		if f.leaving.Load() || !x.upload.over() {
			w.Header().Set("Connection", "close")
		}
		control.SetWriteDeadline(time.Now().Add(writeTimeout))
		a.write(w, control)
		x.upload.close(control)
	case <-r.Context().Done():
		if !f.loop.post(clientGone{x}) {
			x.abandon()
		}
	case <-f.loop.stopped:
		x.abandon()
		http.Error(w, "the gateway has stopped", http.StatusInternalServerError)
	}
}

// read takes a request in, whole, or says with which status it is turned down.
func (f *frontend) read(r *http.Request, control *http.ResponseController) (*exchange, int, error) {
	now := f.loop.clock.now()
	x := &exchange{method: r.Method, uri: originForm(r.RequestURI), host: r.Host, reply: make(chan answer, 1)}
	x.service = f.service.Load()
	ask, err := x.service.parse(r)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	class := &x.service.Classes[ask.Class]
	x.ask, x.class, x.counts, x.plan = ask, class, x.service.counts[ask.Class], x.service.PlanNames[ask.Plan]
	switch key := r.Header.Get(keyHeader); {
	case class.Effect == rules.Repeatable && r.Method != http.MethodGet,
		class.Effect != rules.Repeatable && r.Method != http.MethodPost:
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("method %s does not fit the class", r.Method)
	case class.Effect == rules.ByKey && key == "":
		return nil, http.StatusBadRequest, errors.New(keyHeader + " is missing")
	case len(key) > mostName:
		return nil, http.StatusBadRequest, errors.New(keyHeader + " is too long")
	case r.ContentLength > mostLong:
		return nil, http.StatusRequestEntityTooLarge, errTooLong
	}
	if r.ContentLength != 0 {
		if status, err := f.readBody(x, r, control); err != nil {
			return nil, status, err
		}
		now = f.loop.clock.now() // a request's time counts from its last byte
	}
	x.ask.Sent = now
	x.ask.Deadline += now - answerMargin
	x.header = passedOn(r.Header)
	return x, 0, nil
}

// readBody takes a short body in whole. Of a long one it takes the start, and
// leaves the rest to the attempt.
func (f *frontend) readBody(x *exchange, r *http.Request, control *http.ResponseController) (int, error) {
	body := &clientBody{body: r.Body, length: r.ContentLength, control: control, since: requestSince(r)}
	long := r.ContentLength > mostBody
	if !long {
		var err error
		x.body, err = readBody(body, r.ContentLength)
		if long = errors.Is(err, errTooLong); err != nil && !long {
			return uploadStatus(err), fmt.Errorf("body: %w", err)
		}
	}
	if !long {
		io.Copy(io.Discard, body) // to its end: only then does the server watch for a client that leaves
		return 0, nil
	}
	if err := f.bodies.take(r.Context()); err != nil {
		x.counts.dropped.Add(1)
		return http.StatusServiceUnavailable, err
	}
	x.ask.Open = true
	x.upload = &upload{rest: body, length: r.ContentLength, left: seconds(x.ask.Deadline)}
	x.upload.whole = func(until time.Time) { f.loop.post(uploaded{x, until}) }
	return 0, nil
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
func (s *service) parse(r *http.Request) (rules.Request, error) {
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
	left, err := strconv.ParseInt(h.Get(leftHeader), 10, 64)
	if err != nil || left <= 0 || left > mostPatience.Milliseconds() {
		return q, errors.New(leftHeader + " is not a time in milliseconds")
	}
	q.Deadline = float64(left) / 1000 // from when it is whole
	q.Repeat = h.Get(repeatHeader) == "1"
	return q, s.terms(&q, h.Get(termsHeader))
}

// terms reads the units of a request and the gateways of its customer.
func (s *service) terms(q *rules.Request, text string) error {
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

// write gives the answer to the client.
func (a answer) write(w http.ResponseWriter, control *http.ResponseController) {
	h := w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	if a.status != http.StatusOK {
		if a.retryAfter > 0 {
			h["Retry-After"] = []string{strconv.FormatFloat(math.Ceil(a.retryAfter*1000)/1000, 'f', -1, 64)}
		}
		h["Content-Length"] = []string{"0"}
		w.WriteHeader(a.status)
		return
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // the backend named none, and guessing costs time
	}
	if a.rest == nil {
		a.length = int64(len(a.body))
	}
	if a.length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(a.length, 10)}
	}
	w.WriteHeader(a.status)
	_, err := w.Write(a.body) // an error means that the client has left
	if a.rest == nil {
		return
	}
	outcome := rules.Cancelled
	if err == nil && control.Flush() == nil {
		outcome = a.rest.pass(w, control)
	}
	if outcome == rules.Served && control.Flush() != nil {
		outcome = rules.Cancelled
	}
	a.rest.finish(outcome)
	if outcome != rules.Served {
		panic(http.ErrAbortHandler) // the client must not take a part for the whole
	}
}
