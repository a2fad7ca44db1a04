package main

import (
	"net/http"
	"testing"
	"time"
)

// The checker must name an attempt with too much time left, an attempt for a client that has gone, and a
// late answer, by the times at which they arrived.
func TestCheckerNamesWhatArrivesTooLate(t *testing.T) {
	const (
		timeout = time.Second
		soon    = 10 * time.Millisecond
	)
	for name, test := range map[string]struct {
		left        time.Duration // that the attempt's server is told
		disconnects bool
		attemptAt   time.Duration // after the request
		answerAt    time.Duration // after the request
		violations  int
	}{
		"in time":                  {left: timeout, answerAt: timeout},
		"too much time left":       {left: timeout + timeLeftTolerance + transferTolerance + soon, violations: 1},
		"a late attempt":           {left: timeout, attemptAt: timeLeftTolerance + transferTolerance + soon, violations: 1},
		"behind the client's end":  {disconnects: true, attemptAt: disconnectTolerance + transferTolerance + soon, violations: 1},
		"before the client's end":  {disconnects: true},
		"answered after the limit": {answerAt: timeout + lateAnswerTolerance + transferTolerance + soon, violations: 1},
	} {
		checker := newRequestChecker()
		checker.requestSent("id", "safe", timeout)
		checker.requestWritten("id", timeout)
		sent := time.Now()
		if test.disconnects {
			checker.clientDisconnected("id")
		}
		checker.attemptReceived("id", checkedAttempt{"s", sent.Add(test.attemptAt), test.left}, true)
		checker.answerReceived("id", http.StatusOK, "answer to id", sent.Add(test.answerAt))
		if violations, _ := checker.result(); len(violations) != test.violations {
			t.Errorf("%s: %q", name, violations)
		}
	}
}
