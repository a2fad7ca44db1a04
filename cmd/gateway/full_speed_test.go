package main

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// limitProcessor lets the process run for a part of each period only, until ctx ends, as a platform does
// that gives a process a fraction of a core.
func (g *gatewayProcess) limitProcessor(ctx context.Context, running, period time.Duration) {
	for ctx.Err() == nil {
		time.Sleep(running)
		g.signal(syscall.SIGSTOP)
		time.Sleep(period - running)
		g.signal(syscall.SIGCONT)
	}
}

// sendPipelined writes requests without waiting for the responses, which it discards.
func sendPipelined(conn net.Conn, text func() string) {
	go io.Copy(io.Discard, conn)
	for {
		if _, err := io.WriteString(conn, text()); err != nil {
			return
		}
	}
}

// sendOneByOne writes each request once it has the response to the one before.
func sendOneByOne(conn net.Conn, text func() string) {
	for reader := bufio.NewReader(conn); ; {
		if _, err := io.WriteString(conn, text()); err != nil {
			return
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return
		}
	}
}

func invalidRequests() string {
	return strings.Repeat("GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n", 20)
}

func readinessChecks() string {
	return strings.Repeat("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n", 20)
}

// fullSpeedClients send as fast as they can on a connection, each in its own way.
var fullSpeedClients = map[string]func(conn net.Conn){
	"invalid requests, pipelined": func(conn net.Conn) { sendPipelined(conn, invalidRequests) },
	"readiness checks, pipelined": func(conn net.Conn) { sendPipelined(conn, readinessChecks) },
	"requests without time under new names, pipelined": func(conn net.Conn) {
		sendPipelined(conn, func() string { return requestHead("GET", "safe", time.Millisecond) + "\r\n" })
	},
	"requests under new names, one by one": func(conn net.Conn) {
		sendOneByOne(conn, func() string { return requestHead("GET", "safe", time.Second) + "\r\n" })
	},
	"invalid requests, one by one": func(conn net.Conn) {
		sendOneByOne(conn, func() string { return "GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n" })
	},
	"large bodies": func(conn net.Conn) {
		sendOneByOne(conn, func() string {
			return requestHead("POST", "keyed", time.Second) + "Content-Length: 2000000\r\n\r\n" + strings.Repeat("x", 2000000)
		})
	},
	"no requests at all": func(conn net.Conn) {
		io.WriteString(conn, "hello\r\n\r\n")
		io.Copy(io.Discard, conn)
	},
}

// Guards against clients that get late answers or none while others send at full speed.
func TestAnswersAreInTimeBesideClientsAtFullSpeed(t *testing.T) {
	const (
		duration        = 3 * time.Second
		timeout         = 950 * time.Millisecond
		goodClients     = 8
		fullSpeedCount  = 8
		runningTime     = 15 * time.Millisecond // of each period: 0.15 of a core
		processorPeriod = 100 * time.Millisecond
	)
	for name, act := range fullSpeedClients {
		t.Run(name, func(t *testing.T) {
			program, err := buildGateway()
			if err != nil {
				t.Fatal(err)
			}
			checker := newRequestChecker()
			platform := newPlatform(t, true, platformSettings{Deadline: 1600 * time.Millisecond, Sockets: 384}, 6, checker)
			platform.program = program
			for _, backend := range platform.backends {
				backend.behave(func() (serverBehaviour, time.Duration) { return answers, 40 * time.Millisecond })
			}
			gateway := platform.start()
			ctx, stop := context.WithTimeout(t.Context(), duration)
			defer stop()
			var running, limiter sync.WaitGroup
			limited, endLimit := context.WithCancel(t.Context())
			limiter.Go(func() { gateway.limitProcessor(limited, runningTime, processorPeriod) })
			defer limiter.Wait()
			defer endLimit()
			for index := range fullSpeedCount {
				running.Go(func() {
					actUntil(ctx, sourceAddress(index), platform.address, func(_ context.Context, conn net.Conn) { act(conn) })
				})
			}
			for index := range goodClients {
				sender := &client{name: name + string(rune('a'+index)), address: platform.address, checker: checker, random: rand.New(rand.NewPCG(53, uint64(index))),
					classes: []string{"safe", "keyed"}, timeout: func() time.Duration { return timeout }, pause: func() time.Duration { return 100 * time.Millisecond }}
				running.Go(func() { sender.run(ctx) })
			}
			running.Wait()
			violations, summary := checker.result()
			t.Logf("%s: %s, peak of %d MB", name, summary, gateway.peakMemory()>>20)
			for _, violation := range violations {
				t.Error(violation)
			}
			if checker.count(http.StatusOK) == 0 {
				t.Error("no request was served")
			}
		})
	}
}
