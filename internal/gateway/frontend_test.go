package gateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"dunlintray/internal/wire"
)

// pipes is a listener whose connections are pipes, which know the time of a
// synctest bubble.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), done: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { close(p.done); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// newPipedFrontend serves clients on pipes. Nobody reads the loop's inbox yet.
func newPipedFrontend(t *testing.T) (*frontend, *pipes) {
	t.Helper()
	deploy, err := wire.ParseDeployment([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	p := newPipes()
	f := &frontend{metrics: &metrics{bodyBudget: budget{total: bodyMemory(16)}}, clients: newClientListener(p, 100),
		loop: &Loop{clock: newClock(), inbox: make(chan any, 1), stopped: make(chan struct{})}}
	f.service.Store(f.metrics.newService(deploy, 0))
	server := f.server()
	ended := make(chan struct{})
	go func() { defer close(ended); server.Serve(f.clients) }()
	t.Cleanup(func() { server.Close(); <-ended })
	return f, p
}

// A peer that sends no whole request is owed an error or an end within 3 s of
// its connection. Held longer, such peers take the places of clients.
func TestPeerWithoutRequestIsEndedInTime(t *testing.T) {
	for name, text := range map[string]string{
		"silent":       "",
		"half a line":  "GET /loo",
		"half headers": "GET /lookup HTTP/1.1\r\nHost: origin.svc\r\n",
		"half a body":  requestText("POST", "booking", "pickup")[:len(requestText("POST", "booking", "pickup"))-1],
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, p := newPipedFrontend(t)
				client, server := net.Pipe()
				defer client.Close()
				p.conns <- server
				io.WriteString(client, text)
				client.SetReadDeadline(time.Now().Add(3 * time.Second))
				resp, err := http.ReadResponse(bufio.NewReader(client), nil)
				switch {
				case err == nil && resp.StatusCode < 400:
					t.Errorf("status %d", resp.StatusCode)
				case err != nil && !errors.Is(err, io.ErrUnexpectedEOF):
					t.Errorf("neither answered nor closed: %v", err)
				}
			})
		})
	}
}

// The limits on reading are not for clients that wait for their answer.
func TestHeldRequestOutlastsTheLimitsOnReading(t *testing.T) {
	for name, text := range map[string]string{"without a body": requestText("GET", "lookup", ""), "with one": requestText("POST", "booking", "x")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, p := newPipedFrontend(t)
				client, server := net.Pipe()
				defer client.Close()
				p.conns <- server
				io.WriteString(client, text)
				x := (<-f.loop.inbox).(requestArrived).exchange
				time.Sleep(10 * time.Second) // of the bubble's time
				select {
				case m := <-f.loop.inbox:
					t.Fatalf("the loop was told %T", m)
				default:
				}
				x.reply <- response{status: http.StatusOK, fromBackend: true, body: []byte("booked")}
				resp, err := http.ReadResponse(bufio.NewReader(client), nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("%v %v", resp, err)
				}
			})
		})
	}
}
