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
// deadline, counted as countedDeadline where it is longer, plus killGrace after SIGTERM.
const (
	countedDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
)

// Spans before the earliest SIGKILL. A process may stand still for 150 ms between its clock
// and a write.
const (
	answersBefore = 350 * time.Millisecond // every request has its answer from the module
	finishBefore  = 200 * time.Millisecond // what has none still gets an error, and is closed
	exitBefore    = 50 * time.Millisecond  // answers that are under way are cut, and nothing is waited for
)

const (
	newConnectionsFor  = 600 * time.Millisecond  // new connections still come so long after SIGTERM
	idleConnectionsFor = 2200 * time.Millisecond // clients that keep a connection use it within this time
	scheduleCheck      = 50 * time.Millisecond   // a reload during the stop may change the times
)

// stopSchedule holds the times of a stop, as spans of real time since SIGTERM.
type stopSchedule struct {
	closeListener time.Duration // where no other process serves
	closeIdle     time.Duration // where one does
	answers       time.Duration
	finish        time.Duration
	exit          time.Duration
}

// newStopSchedule returns the times of a stop for the longest deadline of a class.
//
// A request may wait for longer than the platform lets the process live, so all times count
// back from the kill and none from a deadline. A third of the time until the answers are due
// is left to what comes on a connection just before it is closed.
func newStopSchedule(longestDeadline time.Duration) stopSchedule {
	kill := min(longestDeadline, countedDeadline) + killGrace
	answers := kill - answersBefore
	return stopSchedule{
		closeListener: min(newConnectionsFor, answers),
		closeIdle:     min(idleConnectionsFor, answers*2/3),
		answers:       answers,
		finish:        kill - finishBefore,
		exit:          kill - exitBefore,
	}
}

// stop is a shutdown under way.
type stop struct {
	front *frontend
	began time.Time
	told  time.Duration // the time for answers that the module has been told
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
	s := &stop{front: front, began: time.Now()}
	s.tellModule()
	front.leaving.Store(true)
	succeeded := pair.leave()
	s.log("stopping", "successor", succeeded, "answers_due", s.schedule().answers, "exit_due", s.schedule().exit)
	if succeeded {
		front.clients.Close()
		s.until(func(t stopSchedule) time.Duration { return t.closeIdle })
	} else {
		front.clients.leave(leavesIdle)
		s.until(func(t stopSchedule) time.Duration { return t.closeListener })
		front.clients.endQueue()
	}
	s.log("stop: idle connections are closed")
	front.clients.leave(leavesNew)
	err := s.drain(func(t stopSchedule) time.Duration { return t.finish })
	if err != nil {
		s.log("stop: requests without an answer are ended", "requests", front.clients.finish())
		err = s.drain(func(t stopSchedule) time.Duration { return t.exit })
	}
	if err != nil {
		s.log("stop: connections are cut", "connections", front.clients.cut())
	}
	s.log("stopped", "error", err)
	server.Close()
	return err
}

// schedule returns the times by the settings that the process has served under.
func (s *stop) schedule() stopSchedule {
	return newStopSchedule(time.Duration(s.front.longestDeadline.Load()))
}

// use puts settings in force. Of all that the process has had, those with the nearest end
// count for a stop: the platform may have counted before it changed them, or behind that.
func (f *frontend) use(s *service) {
	longest := 0.0
	for _, class := range s.Classes {
		longest = max(longest, class.Deadline)
	}
	if before := f.longestDeadline.Load(); f.service.Swap(s) == nil || int64(seconds(longest)) < before {
		f.longestDeadline.Store(int64(seconds(longest)))
	}
}

// tellModule tells the module by when it has to answer, if that is new.
func (s *stop) tellModule() {
	answers := s.schedule().answers
	if answers == s.told {
		return
	}
	s.told = answers
	clock := s.front.loop.clock
	s.front.loop.post(moduleEvent{rules.Leave{Until: clock.now() + (answers - time.Since(s.began)).Seconds()}})
}

// left returns the time until a step of the schedule, and at most scheduleCheck.
func (s *stop) left(step func(stopSchedule) time.Duration) time.Duration {
	s.tellModule()
	return min(step(s.schedule())-time.Since(s.began), scheduleCheck)
}

// until waits for a step of the schedule.
func (s *stop) until(step func(stopSchedule) time.Duration) {
	for left := s.left(step); left > 0; left = s.left(step) {
		time.Sleep(left)
	}
}

// drain waits until no connection of a client is left, or for a step of the schedule.
func (s *stop) drain(step func(stopSchedule) time.Duration) error {
	for {
		left := s.left(step)
		ctx, cancel := context.WithTimeout(context.Background(), max(left, 0))
		err := s.front.clients.drained(ctx)
		cancel()
		if err == nil || left <= 0 {
			return err
		}
	}
}

// log logs a step with what is still open.
func (s *stop) log(step string, attributes ...any) {
	open := s.front.clients.counts()
	slog.Info(step, append(attributes, "after", time.Since(s.began), "new", open.In[connlimit.New], "head", open.In[connlimit.Head],
		"busy", open.In[connlimit.Busy], "idle", open.In[connlimit.Idle], "in_progress", s.front.figures.inProgress.Load())...)
}
