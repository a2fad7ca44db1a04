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

	"dunlintray/internal/gateway/body"
	"dunlintray/internal/wire"
)

// pipeListener is a listener whose connections are pipes, which follow the clock of a
// synctest bubble.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { close(p.done); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// newPipedFrontend serves clients on pipes. The caller takes the place of the loop and reads
// its inbox.
func newPipedFrontend(t *testing.T) (*frontend, *pipeListener) {
	t.Helper()
	deploy, err := wire.ParseDeployment([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	listener := newPipeListener()
	front := &frontend{metrics: &metrics{bodies: body.NewAccount(4 << 20)}, clients: newClientListener(listener, 100),
		loop: &Loop{clock: newClock(), inbox: make(chan any, inboxSize), stopped: make(chan struct{})}}
	front.service.Store(front.metrics.newService(deploy, 0))
	server := front.server()
	ended := make(chan struct{})
	go func() { defer close(ended); server.Serve(front.clients) }()
	t.Cleanup(func() { server.Close(); <-ended })
	return front, listener
}

// A client that sends no complete request gets an error or a close within 3 s of connecting.
// Otherwise such clients would take the places of others.
func TestClientWithoutCompleteRequestIsDisconnected(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":      "",
		"half a line":  "GET /loo",
		"half headers": "GET /lookup HTTP/1.1\r\nHost: origin.svc\r\n",
		"half a body":  requestText("POST", "booking", "pickup")[:len(requestText("POST", "booking", "pickup"))-1],
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, listener := newPipedFrontend(t)
				client, server := net.Pipe()
				defer client.Close()
				listener.conns <- server
				io.WriteString(client, text)
				client.SetReadDeadline(time.Now().Add(3 * time.Second))
				resp, err := http.ReadResponse(bufio.NewReader(client), nil)
				switch {
				case err == nil && resp.StatusCode < 400:
					t.Errorf("status %d, want an error", resp.StatusCode)
				case err != nil && !errors.Is(err, io.ErrUnexpectedEOF):
					t.Errorf("neither a response nor a close within 3 s: %v", err)
				}
			})
		})
	}
}

// The read timeouts do not apply to a client that waits for its response.
func TestWaitingRequestOutlastsReadTimeouts(t *testing.T) {
	for name, text := range map[string]string{"without a body": requestText("GET", "lookup", ""), "with one": requestText("POST", "booking", "x")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				front, listener := newPipedFrontend(t)
				client, server := net.Pipe()
				defer client.Close()
				listener.conns <- server
				io.WriteString(client, text)
				exchange := (<-front.loop.inbox).(requestArrived).exchange
				time.Sleep(10 * time.Second) // synctest time
				select {
				case message := <-front.loop.inbox:
					t.Fatalf("the loop received a %T while the client waited", message)
				default:
				}
				exchange.responses <- response{status: http.StatusOK, fromBackend: true, body: []byte("booked")}
				resp, err := http.ReadResponse(bufio.NewReader(client), nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("response %v, %v; want status 200", resp, err)
				}
			})
		})
	}
}
