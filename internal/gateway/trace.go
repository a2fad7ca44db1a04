package gateway

import (
	"cmp"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"dunlintray/rules"
)

// maxTraceLines limits the log lines a second about single requests, so that logging does not
// slow the gateway down during an outage.
const maxTraceLines = 10

// logLimiter limits the log lines a second of one kind. It is safe for concurrent use.
type logLimiter struct {
	mu          sync.Mutex
	windowStart time.Time
	lines       int
	max         int // a second; 0: maxTraceLines
}

// allow reports whether another line may be logged, and counts it.
func (l *logLimiter) allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.lines = now, 0
	}
	l.lines++
	return l.lines <= cmp.Or(l.max, maxTraceLines)
}

// lagThreshold is the timer delay, in seconds, from which on the loop logs that it is late.
const lagThreshold = 0.02

var outcomeNames = map[rules.Outcome]string{rules.Served: "served", rules.Errored: "error", rules.Full: "full",
	rules.TimedOut: "timeout", rules.ConnectFailed: "no_connection", rules.Broken: "reset",
	rules.Cancelled: "cancelled", rules.NotStarted: "moot"}

// trace logs how a request that ended badly spent its time. All times are in seconds; those
// of attempts count from the arrival of the request's last byte.
func (l *Loop) trace(exchange *exchange, event string) {
	now := l.clock.now()
	if now-l.traceWindowStart >= 1 {
		l.traceLines, l.traceWindowStart = 0, now
	}
	if l.traceLines++; l.traceLines > maxTraceLines {
		return
	}
	var attempts strings.Builder
	for i, attempt := range exchange.attempts {
		if i > 0 {
			attempts.WriteByte(',')
		}
		fmt.Fprintf(&attempts, "%08x@%.3f", uint32(attempt.backend), attempt.sent-exchange.request.Sent)
		if attempt.ended {
			fmt.Fprintf(&attempts, "+%.3f:%s", attempt.took, outcomeNames[attempt.outcome])
		}
		if attempt.err != nil {
			fmt.Fprintf(&attempts, "(%v)", attempt.err)
		}
	}
	slog.Info(event, "id", exchange.header.Get(idHeader), "class", exchange.counts.name,
		"plan", exchange.plan, "customer", uint64(exchange.request.Customer), "units", exchange.request.Units,
		"repeat", exchange.request.ClientRetry, "left", roundToMillis(exchange.request.Deadline-exchange.request.Sent), "queued", roundToMillis(exchange.queueDelay),
		"took", roundToMillis(now-exchange.request.Sent), "reason", exchange.rejectReason, "attempts", attempts.String())
}

// recordLag records how late a timer fired, in seconds, and logs the largest delay at most
// once a second.
func (l *Loop) recordLag(delay float64) {
	l.maxLag = max(l.maxLag, delay)
	now := l.clock.now()
	if l.maxLag < lagThreshold || now-l.lagLoggedAt < 1 {
		return
	}
	slog.Warn("the loop was late", "most", roundToMillis(l.maxLag), "inbox", len(l.inbox), "live", len(l.live))
	l.maxLag, l.lagLoggedAt = 0, now
}

// roundToMillis rounds seconds to milliseconds.
func roundToMillis(seconds float64) float64 { return float64(int(seconds*1000+0.5)) / 1000 }
