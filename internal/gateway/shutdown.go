package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"dunlintray/internal/connlimit"
	"dunlintray/rules"
)

// In a planned restart the platform sends SIGKILL no sooner than killGrace after the longest
// deadline of a class, which it caps at maxCountedDeadline, counted from SIGTERM.
const (
	maxCountedDeadline = 3 * time.Second
	killGrace          = 700 * time.Millisecond
)

// Margins before the earliest SIGKILL. The scheduler may suspend the process for 150 ms
// between reading the clock and writing to a socket.
const (
	answersMargin = 350 * time.Millisecond // the module has answered every request
	finishMargin  = 200 * time.Millisecond // requests without an answer get an error and their connections are closed
	exitMargin    = 50 * time.Millisecond  // responses still in progress are cut off
)

const (
	acceptPeriod          = 600 * time.Millisecond  // new connections may still arrive after SIGTERM
	idlePeriod            = 2200 * time.Millisecond // clients reuse a kept-alive connection within this time
	scheduleCheckInterval = 50 * time.Millisecond   // a reload during the shutdown may change the schedule
)

// stopSchedule holds the times of the shutdown steps, as durations since SIGTERM.
type stopSchedule struct {
	closeListener time.Duration // without a successor process
	closeIdle     time.Duration // with a successor process
	answersDue    time.Duration
	finish        time.Duration
	exit          time.Duration
}

// newStopSchedule returns the schedule for the longest deadline of a class.
//
// A request may wait longer than the platform lets the process live, so every step counts back
// from SIGKILL and none from a deadline. Idle connections are closed after two thirds of the
// time until answers are due, so that a request arriving just before can still be answered.
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

// shutdownSequence is a shutdown in progress.
type shutdownSequence struct {
	frontend           *frontend
	giveUpUnused       func() // nil: there is no successor process
	startedAt          time.Time
	notifiedAnswersDue time.Duration // as the module was last notified
}

// shutdown serves new requests for a while, answers those in progress, and returns before the
// platform kills the process. It returns an error if connections were cut off.
//
// A client may send a request while its idle connection is being closed. Without a successor
// process the client repeats it on a new connection, so idle connections are closed at once and
// the listener later. With a successor, new connections go to that process, and connections of
// this one are closed after their next response, or after idlePeriod.
func shutdown(front *frontend, server *http.Server, handover *handover) error {
	sequence := &shutdownSequence{frontend: front, startedAt: time.Now()}
	sequence.notifyModule()
	front.shuttingDown.Store(true)
	hasSuccessor := handover.notifyLeaving()
	sequence.log("stopping", "successor", hasSuccessor, "answers_due", sequence.schedule().answersDue, "exit_due", sequence.schedule().exit)
	if hasSuccessor {
		front.clients.Close()
		sequence.giveUpUnused = handover.giveUpUnused
		sequence.waitUntil(func(t stopSchedule) time.Duration { return t.closeIdle })
	} else {
		front.clients.setPhase(phaseClosingIdle)
		sequence.waitUntil(func(t stopSchedule) time.Duration { return t.closeListener })
		front.clients.drainQueue()
	}
	sequence.log("stop: idle connections are closed")
	front.clients.setPhase(phaseClosingNew)
	err := sequence.drain(func(t stopSchedule) time.Duration { return t.finish })
	if err != nil {
		sequence.log("stop: requests without an answer are ended", "requests", front.clients.failUnanswered())
		err = sequence.drain(func(t stopSchedule) time.Duration { return t.exit })
	}
	if err != nil {
		sequence.log("stop: connections are cut", "connections", front.clients.closeAll())
	}
	sequence.log("stopped", "error", err)
	server.Close()
	return err
}

// schedule returns the current schedule; applyService may shorten it.
func (s *shutdownSequence) schedule() stopSchedule {
	return newStopSchedule(time.Duration(s.frontend.longestDeadline.Load()))
}

// applyService makes service the active settings. The shutdown schedule follows the shortest of
// all the longest deadlines that were ever active: the platform may have scheduled SIGKILL by
// the settings before a change or by those after it.
func (f *frontend) applyService(service *serviceConfig) {
	longest := 0.0
	for _, class := range service.Classes {
		longest = max(longest, class.Deadline)
	}
	if previous := f.longestDeadline.Load(); f.service.Swap(service) == nil || int64(seconds(longest)) < previous {
		f.longestDeadline.Store(int64(seconds(longest)))
	}
}

// notifyModule tells the module when its answers are due, if that time has changed.
func (s *shutdownSequence) notifyModule() {
	answers := s.schedule().answersDue
	if answers == s.notifiedAnswersDue {
		return
	}
	s.notifiedAnswersDue = answers
	clock := s.frontend.loop.clock
	s.frontend.loop.post(moduleEvent{rules.Shutdown{Deadline: clock.now() + (answers - time.Since(s.startedAt)).Seconds()}})
}

// remaining returns the time until a step of the schedule, or scheduleCheckInterval if that is
// shorter. It is negative once the step is due.
func (s *shutdownSequence) remaining(step func(stopSchedule) time.Duration) time.Duration {
	s.notifyModule()
	if s.giveUpUnused != nil {
		s.giveUpUnused()
	}
	return min(step(s.schedule())-time.Since(s.startedAt), scheduleCheckInterval)
}

// waitUntil sleeps until a step of the schedule is due.
func (s *shutdownSequence) waitUntil(step func(stopSchedule) time.Duration) {
	for remaining := s.remaining(step); remaining > 0; remaining = s.remaining(step) {
		time.Sleep(remaining)
	}
}

// drain waits until all client connections are closed, and returns an error if a step of the
// schedule is due before that.
func (s *shutdownSequence) drain(step func(stopSchedule) time.Duration) error {
	for {
		remaining := s.remaining(step)
		ctx, cancel := context.WithTimeout(context.Background(), max(remaining, 0))
		err := s.frontend.clients.waitDrained(ctx)
		cancel()
		if err == nil || remaining <= 0 {
			return err
		}
	}
}

// log writes a line for a step, with the client connections by phase and the requests in progress.
func (s *shutdownSequence) log(step string, attributes ...any) {
	counts := s.frontend.clients.counts()
	slog.Info(step, append(attributes, "after", time.Since(s.startedAt), "new", counts.ByState[connlimit.New], "head", counts.ByState[connlimit.Head],
		"busy", counts.ByState[connlimit.Busy], "idle", counts.ByState[connlimit.Idle], "in_progress", s.frontend.metrics.inProgress.Load())...)
}
