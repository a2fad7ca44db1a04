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

// mostTraces bounds the lines a second about single requests, so that an
// outage does not cost the gateway the time it needs for its work.
const maxTraceLines = 10

// lineLimit bounds the lines a second of one kind.
type logLimiter struct {
	mu          sync.Mutex
	windowStart time.Time
	lines       int
	max         int // a second; 0: mostTraces
}

func (l *logLimiter) allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.lines = now, 0
	}
	l.lines++
	return l.lines <= cmp.Or(l.max, maxTraceLines)
}

// worthTelling is the lag of a timer, in seconds, from which on the process had
// too little of its core.
const lagThreshold = 0.02

var outcomeNames = map[rules.Outcome]string{rules.Served: "served", rules.Errored: "error", rules.Full: "full",
	rules.TimedOut: "timeout", rules.ConnectFailed: "no_connection", rules.Broken: "reset",
	rules.Cancelled: "cancelled", rules.Moot: "moot"}

// trace writes where the time of a request went that ended badly. All times
// are seconds since its last byte came in.
func (l *Loop) trace(x *exchange, what string) {
	now := l.clock.now()
	if now-l.traceWindowStart >= 1 {
		l.traceLines, l.traceWindowStart = 0, now
	}
	if l.traceLines++; l.traceLines > maxTraceLines {
		return
	}
	var attempts strings.Builder
	for i, a := range x.attempts {
		if i > 0 {
			attempts.WriteByte(',')
		}
		fmt.Fprintf(&attempts, "%08x@%.3f", uint32(a.backend), a.sent-x.ask.Sent)
		if a.ended {
			fmt.Fprintf(&attempts, "+%.3f:%s", a.took, outcomeNames[a.outcome])
		}
		if a.err != nil {
			fmt.Fprintf(&attempts, "(%v)", a.err)
		}
	}
	slog.Info(what, "id", x.header.Get(idHeader), "class", x.counts.name,
		"plan", x.plan, "customer", uint64(x.ask.Customer), "units", x.ask.Units,
		"repeat", x.ask.Repeat, "left", roundToMillis(x.ask.Deadline-x.ask.Sent), "queued", roundToMillis(x.queued),
		"took", roundToMillis(now-x.ask.Sent), "reason", x.reason, "attempts", attempts.String())
}

// lagged notes how late a timer came, and writes at most once a second how late
// they have been.
func (l *Loop) recordLag(by float64) {
	l.maxLag = max(l.maxLag, by)
	now := l.clock.now()
	if l.maxLag < lagThreshold || now-l.lagLoggedAt < 1 {
		return
	}
	slog.Warn("the loop was late", "most", roundToMillis(l.maxLag), "inbox", len(l.inbox), "live", len(l.live))
	l.maxLag, l.lagLoggedAt = 0, now
}

// round keeps milliseconds.
func roundToMillis(seconds float64) float64 { return float64(int(seconds*1000+0.5)) / 1000 }
