package gateway

import (
	"runtime"
	"sync"
	"time"
)

// Pacing of local answers: those that the gateway gives without a backend. They take processor time
// and nothing that makes a client wait, so a client that sends at full speed would take all of it.
const (
	localAnswerBurst    = 50                     // local answers that a connection may have at once
	localAnswerRate     = 50.0                   // local answers per second that a connection may have in the long run
	pacedAnswersPerCore = 1000.0                 // per second, of all connections together that have more
	maxInvalidPause     = time.Second            // for an invalid request, whose client is owed an error within 3 s
	maxRejectionPause   = 100 * time.Millisecond // for a request, or a quarter of its time if that is more
	pauseTimeDivisor    = 4
)

// answerPacer spreads the local answers of connections that have too many. It is safe for
// concurrent use.
type answerPacer struct {
	interval time.Duration // between two answers

	mu   sync.Mutex
	next time.Time // of the next answer
}

// newAnswerPacer returns a pacer for a gateway with the given number of cores.
func newAnswerPacer(cores float64) *answerPacer {
	return &answerPacer{interval: seconds(1 / (pacedAnswersPerCore * cores))}
}

// reserve returns how long the next answer has to wait, at most maxPause.
func (p *answerPacer) reserve(now time.Time, maxPause time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next.Before(now) {
		p.next = now
	}
	pause := p.next.Sub(now)
	if pause > maxPause {
		return maxPause
	}
	p.next = p.next.Add(p.interval)
	return pause
}

// localAnswers counts the local answers on one connection. One goroutine at a time uses it.
type localAnswers struct {
	available float64 // answers that may be given now
	updatedAt time.Time
}

// take counts an answer, and returns how long it has to wait to keep localAnswerRate.
func (a *localAnswers) take(now time.Time) time.Duration {
	if a.updatedAt.IsZero() {
		a.available = localAnswerBurst
	} else {
		a.available = min(a.available+now.Sub(a.updatedAt).Seconds()*localAnswerRate, localAnswerBurst)
	}
	a.updatedAt = now
	a.available = max(a.available-1, -1)
	return seconds(max(-a.available, 0) / localAnswerRate)
}

// paceLocalAnswer delays a local answer if its connection has had too many, and lets other
// connections go first. It returns early if the client disconnects.
func (f *frontend) paceLocalAnswer(conn *clientConn, maxPause time.Duration) {
	if conn == nil || f.pacer == nil || f.shuttingDown.Load() {
		return
	}
	now := time.Now()
	pause := conn.localAnswers.take(now)
	if pause == 0 {
		runtime.Gosched()
		return
	}
	f.metrics.pacedAnswers.Add(1)
	pause = min(max(pause, f.pacer.reserve(now, maxPause)), maxPause)
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-conn.readAhead.peerClosed:
	}
	conn.localAnswers.updatedAt = time.Now() // a pause does not make up for answers
}

// rejectionPause returns how long the rejection of a request may be delayed.
func rejectionPause(timeLeft time.Duration) time.Duration {
	return max(timeLeft/pauseTimeDivisor, maxRejectionPause)
}
