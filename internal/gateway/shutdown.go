package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"dunlintray/internal/connlimit"
	"dunlintray/rules"
)

// What the platform says of a planned restart: SIGKILL comes no sooner than the longest
// deadline, counted as maxCountedDeadline where it is longer, plus killGrace after SIGTERM.
const (
	maxCountedDeadline = 3 * time.Second
	killGrace          = 700 * time.Millisecond
)

// Spans before the earliest SIGKILL. A process may stand still for 150 ms between its clock
// and a write.
const (
	answersMargin = 350 * time.Millisecond // every request has its answer from the module
	finishMargin  = 200 * time.Millisecond // what has none still gets an error, and is closed
	exitMargin    = 50 * time.Millisecond  // answers that are under way are cut, and nothing is waited for
)

const (
	acceptPeriod          = 600 * time.Millisecond  // new connections still come so long after SIGTERM
	idlePeriod            = 2200 * time.Millisecond // clients that keep a connection use it within this time
	scheduleCheckInterval = 50 * time.Millisecond   // a reload during the stop may change the times
)

// stopSchedule holds the times of a stop, as spans of real time since SIGTERM.
type stopSchedule struct {
	closeListener time.Duration // where no other process serves
	closeIdle     time.Duration // where one does
	answersDue    time.Duration
	finish        time.Duration
	exit          time.Duration
}

// newStopSchedule returns the times of a stop for the longest deadline of a class.
//
// A request may wait for longer than the platform lets the process live, so all times count
// back from the kill and none from a deadline. A third of the time until the answers are due
// is left to what comes on a connection just before it is closed.
func newStopSchedule(longestDeadline time.Duration) stopSchedule {
	kill := min(longestDeadline, maxCountedDeadline) + killGrace
	answers := kill - answersMargin
	return stopSchedule{
		closeListener: min(acceptPeriod, answers),
		closeIdle:     min(idlePeriod, answers*2/3),
		answersDue:    answers,
		finish:        kill - finishMargin,
		exit:          kill - exitMargin,
	}
}

// shutdownSequence is a shutdown under way.
type shutdownSequence struct {
	frontend           *frontend
	startedAt          time.Time
	notifiedAnswersDue time.Duration // the time for answers that the module has been told
}

// shutdown takes what still comes for a while, answers what is held, and ends before the
// platform kills the process.
//
// A request may cross the closing of its idle connection. Without a process to take over,
// its client sends it again on a new connection, so idle connections are closed at once,
// while new ones are still taken, and the listener is closed later. With one, new connections
// go to it, and those that stand here are closed behind their next answer, or once nothing
// has come on them for longer than clients keep still.
func shutdown(front *frontend, server *http.Server, pair *handover) error {
	s := &shutdownSequence{frontend: front, startedAt: time.Now()}
	s.notifyModule()
	front.shuttingDown.Store(true)
	succeeded := pair.notifyLeaving()
	s.log("stopping", "successor", succeeded, "answers_due", s.schedule().answersDue, "exit_due", s.schedule().exit)
	if succeeded {
		front.clients.Close()
		s.waitUntil(func(t stopSchedule) time.Duration { return t.closeIdle })
	} else {
		front.clients.setPhase(phaseClosingIdle)
		s.waitUntil(func(t stopSchedule) time.Duration { return t.closeListener })
		front.clients.drainQueue()
	}
	s.log("stop: idle connections are closed")
	front.clients.setPhase(phaseClosingNew)
	err := s.drain(func(t stopSchedule) time.Duration { return t.finish })
	if err != nil {
		s.log("stop: requests without an answer are ended", "requests", front.clients.failUnanswered())
		err = s.drain(func(t stopSchedule) time.Duration { return t.exit })
	}
	if err != nil {
		s.log("stop: connections are cut", "connections", front.clients.closeAll())
	}
	s.log("stopped", "error", err)
	server.Close()
	return err
}

// schedule returns the times by the settings that the process has served under.
func (s *shutdownSequence) schedule() stopSchedule {
	return newStopSchedule(time.Duration(s.frontend.longestDeadline.Load()))
}

// applyService puts settings in force. Of all that the process has had, those with the nearest end
// count for a stop: the platform may have counted before it changed them, or behind that.
func (f *frontend) applyService(s *serviceConfig) {
	longest := 0.0
	for _, class := range s.Classes {
		longest = max(longest, class.Deadline)
	}
	if before := f.longestDeadline.Load(); f.service.Swap(s) == nil || int64(seconds(longest)) < before {
		f.longestDeadline.Store(int64(seconds(longest)))
	}
}

// notifyModule tells the module by when it has to answer, if that is new.
func (s *shutdownSequence) notifyModule() {
	answers := s.schedule().answersDue
	if answers == s.notifiedAnswersDue {
		return
	}
	s.notifiedAnswersDue = answers
	clock := s.frontend.loop.clock
	s.frontend.loop.post(moduleEvent{rules.Shutdown{Deadline: clock.now() + (answers - time.Since(s.startedAt)).Seconds()}})
}

// remaining returns the time until a step of the schedule, and at most scheduleCheck.
func (s *shutdownSequence) remaining(step func(stopSchedule) time.Duration) time.Duration {
	s.notifyModule()
	return min(step(s.schedule())-time.Since(s.startedAt), scheduleCheckInterval)
}

// waitUntil waits for a step of the schedule.
func (s *shutdownSequence) waitUntil(step func(stopSchedule) time.Duration) {
	for left := s.remaining(step); left > 0; left = s.remaining(step) {
		time.Sleep(left)
	}
}

// drain waits until no connection of a client is left, or for a step of the schedule.
func (s *shutdownSequence) drain(step func(stopSchedule) time.Duration) error {
	for {
		left := s.remaining(step)
		ctx, cancel := context.WithTimeout(context.Background(), max(left, 0))
		err := s.frontend.clients.waitDrained(ctx)
		cancel()
		if err == nil || left <= 0 {
			return err
		}
	}
}

// log logs a step with what is still open.
func (s *shutdownSequence) log(step string, attributes ...any) {
	open := s.frontend.clients.counts()
	slog.Info(step, append(attributes, "after", time.Since(s.startedAt), "new", open.ByState[connlimit.New], "head", open.ByState[connlimit.Head],
		"busy", open.ByState[connlimit.Busy], "idle", open.ByState[connlimit.Idle], "in_progress", s.frontend.metrics.inProgress.Load())...)
}
