package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	timeLeftTolerance   = 150 * time.Millisecond // of the time left that an attempt reports to its server
	disconnectTolerance = 100 * time.Millisecond // for an attempt that was about to start when its client disconnected
	transferTolerance   = 50 * time.Millisecond  // between the processes of the test
	lateAnswerTolerance = 500 * time.Millisecond // of an answer after the request's deadline
)

// requestChecker checks the rules on requests, as clients and servers see them. It is safe for
// concurrent use.
type requestChecker struct {
	mu           sync.Mutex
	requests     map[string]*checkedRequest
	violations   []string
	statuses     map[int]int
	unreadCount  int
	killedAt     time.Time // when a serving process was last killed without SIGTERM
	excusedCount int       // requests lost by such a kill
}

// checkedRequest is what the client and the servers saw of one request.
type checkedRequest struct {
	id, class      string
	due            time.Time // the client's deadline
	disconnectedAt time.Time // by then the client had disconnected; zero: it did not
	attempts       []checkedAttempt
	mayHaveRun     bool     // one of them may have taken effect
	history        []string // for the report of a violation
}

// checkedAttempt is an attempt that a server has read completely.
type checkedAttempt struct {
	server    string
	arrivedAt time.Time
	left      time.Duration // that the server was told
}

func newRequestChecker() *requestChecker {
	return &requestChecker{requests: map[string]*checkedRequest{}, statuses: map[int]int{}}
}

func (r *checkedRequest) addEvent(format string, args ...any) {
	r.history = append(r.history, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (c *requestChecker) addViolation(request *checkedRequest, format string, args ...any) {
	request.addEvent("VIOLATION: "+format, args...)
	c.violations = append(c.violations, request.id+" "+request.class+"\n\t"+strings.Join(request.history, "\n\t"))
}

// requestSent registers a request, before its first byte is written.
func (c *requestChecker) requestSent(id, class string, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := &checkedRequest{id: id, class: class, due: time.Now().Add(timeout)}
	request.addEvent("sent, client timeout %v", timeout)
	c.requests[id] = request
}

// requestWritten starts the timeout of a request, whose last byte has just been written.
func (c *requestChecker) requestWritten(id string, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests[id]
	request.due = time.Now().Add(timeout)
	request.addEvent("completely written")
}

// attemptReceived checks an attempt that a server has read completely, and whose last byte has arrived
// at the given time.
func (c *requestChecker) attemptReceived(id string, attempt checkedAttempt, mayHaveRun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests[id]
	if strings.HasPrefix(id, hostilePrefix) {
		return
	}
	if request == nil {
		c.violations = append(c.violations, "server "+attempt.server+" received "+id+", which no client sent")
		return
	}
	request.addEvent("attempt at %s, %v left, arrived %v ago", attempt.server, attempt.left, time.Since(attempt.arrivedAt))
	if request.attempts = append(request.attempts, attempt); request.class == "unsafe" && request.mayHaveRun {
		c.addViolation(request, "an unsafe request was retried although it may have run")
	}
	request.mayHaveRun = request.mayHaveRun || mayHaveRun
}

// checkTimes checks the times of an attempt once those of the client are known.
func (c *requestChecker) checkTimes(request *checkedRequest, attempt checkedAttempt) {
	if late := attempt.arrivedAt.Sub(request.disconnectedAt); !request.disconnectedAt.IsZero() && late > disconnectTolerance+transferTolerance {
		c.addViolation(request, "an attempt arrived at %s %v after its client disconnected", attempt.server, late)
	}
	if remaining := request.due.Sub(attempt.arrivedAt); attempt.left > remaining+timeLeftTolerance+transferTolerance {
		c.addViolation(request, "server %s received a time left of %v, the client has %v", attempt.server, attempt.left, remaining)
	}
}

// clientDisconnected records that the client of a request has just closed its connection.
func (c *requestChecker) clientDisconnected(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests[id]
	request.disconnectedAt = time.Now()
	request.addEvent("client disconnected")
}

// answerReceived checks a complete answer, whose last byte has arrived at the given time.
func (c *requestChecker) answerReceived(id string, status int, body string, arrivedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests[id]
	request.addEvent("answered %d, arrived %v ago", status, time.Since(arrivedAt))
	c.statuses[status]++
	switch {
	case status == http.StatusOK && body != "answer to "+id && body != "answer to "+id+longAnswer:
		c.addViolation(request, "served with %d bytes, %.40q", len(body), body)
	case status == http.StatusOK && len(request.attempts) == 0:
		c.addViolation(request, "served although no server received it")
	case (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) && request.class == "unsafe" && request.mayHaveRun:
		c.addViolation(request, "refused although it may have run")
	}
	if late := arrivedAt.Sub(request.due); late > lateAnswerTolerance+transferTolerance {
		c.addViolation(request, "answered %v after its deadline", late)
	}
}

// requestUnread records a request whose connection was reset before the gateway read it. Its client
// repeats it if the connection had been idle.
func (c *requestChecker) requestUnread(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id].addEvent("connection reset before the request was read")
	c.unreadCount++
}

// processKilled records that a serving process is killed without SIGTERM. The requests that it loses
// are no violations.
func (c *requestChecker) processKilled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killedAt = time.Now()
}

// answerLost checks a request that the gateway accepted and did not answer completely.
func (c *requestChecker) answerLost(id, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.killedAt) < transferTolerance {
		c.requests[id].addEvent("lost by a kill: %s", how)
		c.excusedCount++
		return
	}
	c.addViolation(c.requests[id], "no complete answer: %s", how)
}

// count returns the number of answers with a status.
func (c *requestChecker) count(status int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.statuses[status]
}

// result returns the violations, and a line about all requests.
func (c *requestChecker) result() (violations []string, summary string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, request := range c.requests {
		for _, attempt := range request.attempts {
			c.checkTimes(request, attempt)
		}
		request.attempts = nil // checked
	}
	return c.violations, fmt.Sprintf("%d requests, answers %v, %d unread, %d lost by a kill", len(c.requests), c.statuses, c.unreadCount, c.excusedCount)
}
