package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	timeSlack  = 150 * time.Millisecond // of the time that an attempt tells its server
	goneSlack  = 100 * time.Millisecond // after a client has gone, for an attempt that was about to begin
	writeSlack = 50 * time.Millisecond  // for the way between the test's own processes
	lostAfter  = 500 * time.Millisecond // behind a request's time its answer is lost
)

// judge keeps the rules on requests from outside the gateway. It is safe for concurrent use.
type judge struct {
	mu       sync.Mutex
	requests map[string]*request
	broken   []string
	statuses map[int]int
	resent   int
	killed   time.Time // a process that served was killed outright
	excused  int       // requests that ended with it
}

// request is what the clients and the servers saw of one request.
type request struct {
	id, class string
	due       time.Time
	gone      time.Time // when its client closed; zero: it did not
	attempts  int       // that came whole
	ran       bool      // one of them may have had an effect
	history   []string
}

func newJudge() *judge { return &judge{requests: map[string]*request{}, statuses: map[int]int{}} }

func (r *request) note(format string, args ...any) {
	r.history = append(r.history, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (j *judge) violate(r *request, format string, args ...any) {
	r.note("BROKEN: "+format, args...)
	j.broken = append(j.broken, r.id+" "+r.class+"\n\t"+strings.Join(r.history, "\n\t"))
}

// sent registers a request before its first byte is written.
func (j *judge) sent(id, class string, patience time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := &request{id: id, class: class, due: time.Now().Add(patience)}
	r.note("sent, waits %v", patience)
	j.requests[id] = r
}

// whole moves the time of a request that took its own to be written.
func (j *judge) whole(id string, patience time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	r.due = time.Now().Add(patience)
	r.note("written whole")
}

// attempt judges a request that a server has read whole.
func (j *judge) attempt(id, server string, left time.Duration, ran bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	if r == nil {
		j.broken = append(j.broken, "server "+server+" got "+id+", which no client sent")
		return
	}
	now := time.Now()
	r.note("attempt at %s, %v left", server, left)
	if r.attempts++; r.class == "unsafe" && r.ran {
		j.violate(r, "an unsafe request was sent again though it may have run")
	}
	r.ran = r.ran || ran
	if !r.gone.IsZero() && now.Sub(r.gone) > goneSlack+writeSlack {
		j.violate(r, "an attempt began %v after its client had gone", now.Sub(r.gone))
	}
	if most := r.due.Sub(now) + timeSlack + writeSlack; left > most {
		j.violate(r, "the server was told %v, the client has %v left", left, r.due.Sub(now))
	}
}

// left notes that the client of a request has closed its connection.
func (j *judge) left(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	r.gone = time.Now()
	r.note("client gone")
}

// answered judges an answer that came whole.
func (j *judge) answered(id string, status int, body string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	r.note("answered %d", status)
	j.statuses[status]++
	switch {
	case status == http.StatusOK && body != "answer to "+id && body != "answer to "+id+longAnswer:
		j.violate(r, "served with %d bytes, %.40q", len(body), body)
	case status == http.StatusOK && r.attempts == 0:
		j.violate(r, "served though no server had it")
	case (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) && r.class == "unsafe" && r.ran:
		j.violate(r, "refused though it may have run")
	}
	if late := time.Since(r.due); late > lostAfter+writeSlack {
		j.violate(r, "answered %v behind its time", late)
	}
}

// unread notes a request whose connection was reset before the gateway read it. Its client
// sends it once more where the connection had rested.
func (j *judge) unread(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[id].note("its connection was reset, unread")
	j.resent++
}

// kills notes that a process which may have taken requests is killed with no stop before. What
// it had is excused.
func (j *judge) kills() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.killed = time.Now()
}

// lost judges a request that was taken and got no whole answer.
func (j *judge) lost(id, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if time.Since(j.killed) < writeSlack {
		j.requests[id].note("ended by a kill: %s", how)
		j.excused++
		return
	}
	j.violate(j.requests[id], "no whole answer: %s", how)
}

// verdict returns what was broken, and a line about what was played.
func (j *judge) verdict() (broken []string, summary string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.broken, fmt.Sprintf("%d requests, answers %v, %d unread, %d ended by a kill", len(j.requests), j.statuses, j.resent, j.excused)
}
