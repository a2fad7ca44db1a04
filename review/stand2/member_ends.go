package main

import (
	"fmt"
	"time"
)

func init() { cases["member-ends"] = memberEnds }

// memberEnds: a member of a group of service registries is started anew while its way to the writer is cut.
// When the way is whole again, another member is lost.
func memberEnds(l *lab) error {
	members, err := l.newGroup()
	if err != nil {
		return err
	}
	all := []*member{members[1], members[2], members[3]}
	for _, m := range all {
		if err := m.start(); err != nil {
			return err
		}
	}
	await := func(what string, limit time.Duration, done func() bool) error {
		for end := time.Now().Add(limit); !done(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) || l.ctx.Err() != nil {
				return fmt.Errorf("%s: not within %v", what, limit)
			}
		}
		return nil
	}
	var writer, follower, third *member
	if err := await("a writer, and all take part", 15*time.Second, func() bool {
		for _, m := range all {
			status, err := m.status()
			if err != nil || !status.TakesPart || status.Writer == 0 {
				return false
			}
			writer = members[status.Writer]
		}
		return true
	}); err != nil {
		return err
	}
	for _, m := range all {
		switch {
		case m == writer:
		case follower == nil:
			follower = m
		default:
			third = m
		}
	}
	l.say("member %d writes, %d is the one to be started anew, %d the third", writer.number, follower.number, third.number)
	written := 0
	write := func(count int, to ...*member) error {
		for range count {
			written++
			if err := await("a registration", 10*time.Second, func() bool {
				err := register(to, fmt.Sprintf("s-%d", written))
				if err != nil {
					l.note("registration s-%d: %v", written, err)
				}
				return err == nil
			}); err != nil {
				return err
			}
		}
		l.note("%d registrations answered", written)
		return nil
	}
	if err := write(10, all...); err != nil {
		return err
	}
	follower.process.kill()
	if l.trouble {
		follower.to[writer.number].setCut(true)
		writer.to[follower.number].setCut(true)
		l.say("the way between members %d and %d is cut", follower.number, writer.number)
	}
	if err := write(10, writer, third); err != nil {
		return err
	}
	if err := follower.start(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	status, err := follower.status()
	l.say("member %d is in its second start: %+v %v", follower.number, status, err)
	if err := write(10, writer, third); err != nil {
		return err
	}
	time.Sleep(time.Second)
	follower.to[writer.number].setCut(false)
	writer.to[follower.number].setCut(false)
	l.say("the way between members %d and %d is whole", follower.number, writer.number)
	time.Sleep(5 * time.Second)
	if !follower.process.alive() {
		l.breach("member %d ended by itself: %s", follower.number, follower.lastLines())
		if err := follower.start(); err != nil { // "A member is back with its folder: start it, it catches up"
			return err
		}
		if time.Sleep(4 * time.Second); !follower.process.alive() {
			l.breach("member %d ended by itself again, started with its folder: %s", follower.number, follower.lastLines())
		}
	}
	status, err = follower.status()
	l.say("5 s behind, member %d: %+v %v", follower.number, status, err)

	third.process.kill()
	l.say("member %d is lost", third.number)
	lostAt, answered, refused := time.Now(), 0, 0
	for time.Since(lostAt) < 13*time.Second && l.ctx.Err() == nil {
		written++
		err := register([]*member{writer, follower}, fmt.Sprintf("s-%d", written))
		l.note("registration s-%d, %.1f s after the loss: %v", written, time.Since(lostAt).Seconds(), err)
		if time.Since(lostAt) > 3*time.Second {
			if err == nil {
				answered++
			} else {
				refused++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	if l.say("from 3 s after the loss on: %d registrations answered, %d not", answered, refused); answered == 0 {
		l.breach("with one of three members lost, no registration was answered for 10 s")
	}
	return nil
}
