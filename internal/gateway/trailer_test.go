package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// trailerBody is a body that ends with a trailer just after the time for which it is held.
type trailerBody struct{ request *http.Request }

// Read implements io.Reader. Like net/http, it sets the trailer at the end of the body.
func (b *trailerBody) Read([]byte) (int, error) {
	time.Sleep(maxHoldTime + maxHoldTime/5)
	b.request.Trailer["X-Sum"] = []string{"8"}
	return 0, io.EOF
}

func (b *trailerBody) Close() error { return nil }

// Guards against two goroutines that use the map of a request's trailers at once, one that goes on reading a
// body and one that passes the request on. The race detector notices it.
func TestTrailersAreReadByOneGoroutine(t *testing.T) {
	front, _ := newPipedFrontend(t)
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(requestText("POST", "booking", "", "Transfer-Encoding", "chunked", "Trailer", "X-Sum"))))
	if err != nil {
		t.Fatal(err)
	}
	request.Body = &trailerBody{request}
	exchange, _, err := front.read(request, http.NewResponseController(noDeadlines{}))
	if err != nil || exchange.upload == nil || strings.Join(exchange.announcedTrailers, ",") != "X-Sum" {
		t.Fatalf("%+v, %v", exchange, err)
	}
	exchange.upload.prefix.Wait()
}
