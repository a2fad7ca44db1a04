package gateway

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against the end of the process, and with it the loss of all requests in progress, when a
// reload drops the class of a request whose body is still arriving.
func TestReloadDropsClassDuringUpload(t *testing.T) {
	t.Parallel()
	backend := newTestServer(t)
	gateway := newTestGateway(t, backend)
	conn, responses := gateway.request(t, requestText("POST", "booking", "", "Transfer-Encoding", "chunked")+"4\r\npick\r\n")
	upstream, reader := backend.accept(t)
	req, err := http.ReadRequest(reader)
	if err != nil {
		t.Fatal(err)
	}
	gateway.awaitMetrics(t, "app.transfers.up.open:1|g")
	var settings struct {
		Classes []json.RawMessage `json:"classes"`
	}
	if err := json.Unmarshal([]byte(testSettings), &settings); err != nil {
		t.Fatal(err)
	}
	start, end := strings.Index(testSettings, `"classes"`), strings.Index(testSettings, `"packages"`)
	gateway.reload(t, testSettings[:start]+`"classes": [`+string(settings.Classes[0])+`], `+testSettings[end:])
	gateway.awaitMetrics(t, "app.loads:1|c")
	io.WriteString(conn, "2\r\nup\r\n0\r\n\r\n")
	if body, err := io.ReadAll(req.Body); err != nil || string(body) != "pickup" {
		t.Errorf("the backend received %q, %v", body, err)
	}
	io.WriteString(upstream, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nbooked")
	resp := wait(t, responses, "response")
	if body, err := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK || string(body) != "booked" || err != nil {
		t.Errorf("status %d, body %q, %v", resp.StatusCode, body, err)
	}
	_, other := gateway.request(t, requestText("GET", "lookup", ""))
	serveOne(t, backend, "found")
	if resp := wait(t, other, "response"); resp.StatusCode != http.StatusOK {
		t.Errorf("a request of a class that stays: status %d", resp.StatusCode)
	}
}

// Guards against a repeat in another zone, whose backends do not know the key of the request, after a
// reload has moved the zones: a change of the list is read under the new settings, the rest of the
// list under the earlier ones.
func TestReloadKeepsZonesApart(t *testing.T) {
	t.Parallel()
	first, other := newTestServer(t), newTestServer(t)
	byZone := func(config string) string {
		return strings.Replace(config, `"keyScope": "cell"`, `"keyScope": "zone"`, 1)
	}
	gateway := newTestGatewayWith(t, byZone, first)
	_, responses := gateway.request(t, requestText("POST", "booking", "pickup"))
	conn, reader := first.accept(t)
	readRequest(t, reader)
	gateway.reload(t, byZone(strings.Replace(testSettings, `"localities": ["a", "b"]`, `"localities": ["b", "a"]`, 1)))
	gateway.awaitMetrics(t, "app.loads:1|c")
	added := newListing(false, "Ready", other)
	added.Generation, added.Instances[0].Zone = 2, "b"
	gateway.discovery.answers <- added
	gateway.awaitMetrics(t, "app.known_backends:2|g")
	conn.Close() // the request may have run
	select {
	case <-other.conns:
		t.Fatal("sent again in a zone whose backends do not know its key")
	case repeat := <-first.conns:
		readRequest(t, bufio.NewReader(repeat))
		io.WriteString(repeat, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	case <-time.After(testTimeout):
		t.Fatal("not sent again")
	}
	if resp := wait(t, responses, "response"); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200", resp.StatusCode)
	}
}
