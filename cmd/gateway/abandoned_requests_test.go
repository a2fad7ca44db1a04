package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against attempts for clients that have left, whatever they had sent that was not read.
func TestNoAttemptBeginsOnceItsClientHasLeft(t *testing.T) {
	t.Parallel()
	const (
		patience   = 70 * time.Millisecond  // of a client before it leaves
		failsAfter = 400 * time.Millisecond // the first attempt, so that another one would begin
		clients    = 3                      // as many attempts as may be in flight
	)
	pipelined := func(bytes int) func(id string) string {
		return func(id string) string {
			next := requestHead("GET", "safe", 5*time.Second) + "\r\n"
			return headOf("GET", "safe", id) + "\r\n" + strings.Repeat(next, bytes/len(next)+1)
		}
	}
	body := func(bytes int) func(id string) string {
		return func(id string) string {
			return headOf("POST", "keyed", id) + fmt.Sprintf("Content-Length: %d\r\n\r\n", bytes) + strings.Repeat("x", bytes)
		}
	}
	for name, text := range map[string]func(id string) string{
		"nothing behind the request":   pipelined(0),
		"20 kB behind the request":     pipelined(20 << 10),
		"300 kB behind the request":    pipelined(300 << 10),
		"1 MB behind the request":      pipelined(1 << 20),
		"a body that is held":          body(50 << 10),
		"a body that fills the socket": body(100 << 10),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checker := newRequestChecker()
			platform := newPlatform(t, true, platformSettings{Deadline: 7500 * time.Millisecond, Sockets: 256}, 3, checker)
			for _, backend := range platform.backends {
				backend.behave(func() (serverBehaviour, time.Duration) { return failsLate, failsAfter })
			}
			gateway := platform.start()
			var leaving sync.WaitGroup
			for index := range clients {
				id := fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), index)
				leaving.Go(func() {
					conn, err := net.Dial("tcp", platform.address)
					if err != nil {
						t.Error(err)
						return
					}
					checker.requestSent(id, "safe", 5*time.Second)
					go io.WriteString(conn, text(id))
					time.Sleep(patience)
					conn.Close()
					checker.clientDisconnected(id)
				})
			}
			leaving.Wait()
			time.Sleep(3 * failsAfter)
			violations, summary := checker.result()
			t.Logf("%s: %s", name, summary)
			for _, violation := range violations {
				t.Error(violation)
			}
			if text := gateway.log.String(); strings.Contains(text, "panic") || strings.Contains(text, "DATA RACE") {
				t.Error(text)
			}
		})
	}
}

// headOf returns the head of a request with the given id, without the empty line.
func headOf(method, class, id string) string {
	head := requestHead(method, class, 5*time.Second)
	before, rest, _ := strings.Cut(head, "X-Correlation-Id: ")
	_, after, _ := strings.Cut(rest, "\r\n")
	return before + "X-Correlation-Id: " + id + "\r\n" + after
}
