package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"dunlintray/internal/connlimit"
	"dunlintray/rules"
)

const (
	stayFor    = 600 * time.Millisecond  // new connections still come so long after a stop was asked for
	stayIdle   = 2200 * time.Millisecond // and so long a connection may stand idle then, where another process serves
	leastHeld  = 3 * time.Second         // a stop has at least this time
	stopMargin = 500 * time.Millisecond  // for the last answers after the longest deadline
	answerTime = 100 * time.Millisecond  // of that, for their way to the client
)

// shutdown takes what still comes for a while, answers what is held, and ends.
//
// Danger: a request may cross the closing of its idle connection. Without a
// process to take over, its client sends it again on a new connection, so idle
// connections go at once, while new ones are still taken, and the listener goes
// later. With one, new connections are its own, and those that stand here go
// after their next answer, or once nothing has come on them for longer than
// clients keep still.
func shutdown(front *frontend, server *http.Server, pair *handover) error {
	began := time.Now()
	most := max(longest(front), leastHeld)
	ctx, cancel := context.WithTimeout(context.Background(), most+stopMargin)
	defer cancel()
	answerBy := most + stopMargin - answerTime
	front.loop.post(told{rules.Leave{Until: front.loop.clock.now() + answerBy.Seconds()}})
	front.leaving.Store(true)
	succeeded := pair.leave()
	front.logStop("stopping", began, "answer_by", answerBy, "successor", succeeded)
	if succeeded {
		front.clients.Close()
		time.Sleep(stayIdle)
	} else {
		front.clients.leave(leavesIdle)
		time.Sleep(stayFor)
		front.clients.Close()
	}
	front.logStop("stop: idle connections end", began)
	front.clients.leave(leavesNew)
	err := front.clients.drained(ctx)
	front.logStop("stopped", began, "error", err)
	server.Close()
	return err
}

// logStop logs a step of a stop with what is still open.
func (f *frontend) logStop(step string, began time.Time, attributes ...any) {
	open := f.clients.counts()
	slog.Info(step, append(attributes, "after", time.Since(began), "new", open.In[connlimit.New], "head", open.In[connlimit.Head],
		"busy", open.In[connlimit.Busy], "idle", open.In[connlimit.Idle], "in_progress", f.figures.inProgress.Load())...)
}

// longest is how long a request may be held.
func longest(front *frontend) time.Duration {
	s := front.service.Load()
	most := 0.0
	for _, class := range s.Classes {
		most = max(most, class.Deadline)
	}
	return seconds(most + s.AnswerSlack)
}
