package registry

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Handler returns the HTTP handler for readers, writers and other registry processes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, s.handleRead)
	mux.HandleFunc("POST "+SubscriptionsPath, s.handleSubscribe)
	mux.HandleFunc("GET "+FencePath, s.handleFence)
	mux.HandleFunc("POST "+FencePath, s.handleFence)
	for pattern, write := range map[string]func(id string, r *http.Request) (WriteResult, error){
		"PUT " + Path + "/{id}":            s.register,
		"POST " + Path + "/{id}/renew":     s.renew,
		"POST " + Path + "/{id}/lifecycle": s.lifecycle,
		"DELETE " + Path + "/{id}":         s.leave,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			if writer := s.writer.Load(); writer != nil {
				if *writer == "" {
					s.writeError(w, refuse(http.StatusServiceUnavailable, "the writer is not known at present"))
					return
				}
				w.Header().Set("Location", "http://"+*writer+r.URL.RequestURI())
				s.writeError(w, refuse(http.StatusTemporaryRedirect, "this is not the writer; writes go to %s", *writer))
				return
			}
			// A timeout of http.Server would end watches too.
			control := http.NewResponseController(w)
			control.SetReadDeadline(time.Now().Add(readTimeout))
			written, err := write(r.PathValue("id"), r)
			if err != nil {
				w.Header().Set("Connection", "close") // part of the body may be unread
				s.writeError(w, err)
				return
			}
			control.SetReadDeadline(time.Time{})
			s.writeAnswer(w, fmt.Appendf(nil, `{"version":%d,"lifecycle":%q,"leaseMs":%d}`+"\n", written.Version, written.Lifecycle, s.lease().Milliseconds()))
		})
	}
	return mux
}

// writeRequest is the body of a write. StartedAtMs identifies the process. IfVersion is the
// expected version of the instance; 0 if it must not be registered.
type writeRequest struct {
	HostPort    string    `json:"hostPort"`
	Zone        string    `json:"zone"`
	MachineType string    `json:"machineType"`
	Cell        int       `json:"cell"`
	Service     string    `json:"service"`
	Region      string    `json:"region"`
	Lifecycle   Lifecycle `json:"lifecycle"`
	Weight      *float64  `json:"weight"`
	StartedAtMs *int64    `json:"startedAtMs"`
	IfVersion   *int64    `json:"ifVersion"`
}

func readWriteRequest(r *http.Request) (writeRequest, error) {
	var request writeRequest
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxRequestBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return request, refuse(http.StatusRequestEntityTooLarge, "the request body exceeds the maximum of %d bytes", maxRequestBytes)
	case err != nil:
		return request, refuse(http.StatusBadRequest, "the request body could not be read completely: %v", err)
	}
	if err := decode(body, &request); err != nil {
		return request, refuse(http.StatusBadRequest, "%v", err)
	}
	if request.StartedAtMs == nil {
		return request, refuse(http.StatusBadRequest, "startedAtMs is missing")
	}
	return request, nil
}

func (s *Server) register(id string, r *http.Request) (WriteResult, error) {
	request, err := readWriteRequest(r)
	if err != nil {
		return WriteResult{}, err
	}
	instance := Instance{ID: id, HostPort: request.HostPort, Zone: request.Zone, MachineType: request.MachineType, Cell: request.Cell,
		Service: request.Service, Region: request.Region, Lifecycle: request.Lifecycle, Weight: 1, StartedAtMs: *request.StartedAtMs}
	if request.Weight != nil {
		instance.Weight = *request.Weight
	}
	return s.writeChange(func(now time.Duration) (WriteResult, error) {
		return s.store.Register(now, instance, request.IfVersion)
	})
}

func (s *Server) renew(id string, r *http.Request) (WriteResult, error) {
	request, err := readWriteRequest(r)
	if err == nil && request != (writeRequest{StartedAtMs: request.StartedAtMs}) {
		err = refuse(http.StatusBadRequest, "a renewal has startedAtMs alone")
	}
	if err != nil {
		return WriteResult{}, err
	}
	return s.writeChange(func(now time.Duration) (WriteResult, error) { return s.store.Renew(now, id, *request.StartedAtMs) })
}

func (s *Server) lifecycle(id string, r *http.Request) (WriteResult, error) {
	request, err := readWriteRequest(r)
	if err == nil && request != (writeRequest{StartedAtMs: request.StartedAtMs, Lifecycle: request.Lifecycle, IfVersion: request.IfVersion}) {
		err = refuse(http.StatusBadRequest, "a change of lifecycle has lifecycle, startedAtMs and ifVersion alone")
	}
	if err != nil {
		return WriteResult{}, err
	}
	return s.writeChange(func(now time.Duration) (WriteResult, error) {
		return s.store.SetLifecycle(now, id, *request.StartedAtMs, request.Lifecycle, request.IfVersion)
	})
}

func (s *Server) leave(id string, r *http.Request) (WriteResult, error) {
	startedAtMs, err := queryInteger(r, "startedAtMs", 0, maxExactInteger)
	if err == nil && startedAtMs < 0 {
		err = refuse(http.StatusBadRequest, "startedAtMs is missing")
	}
	if err != nil {
		return WriteResult{}, err
	}
	var expectedVersion *int64
	if version, err := queryInteger(r, "ifVersion", 0, maxExactInteger); err != nil {
		return WriteResult{}, err
	} else if version >= 0 {
		expectedVersion = &version
	}
	return s.writeChange(func(now time.Duration) (WriteResult, error) {
		return s.store.Leave(now, id, startedAtMs, expectedVersion)
	})
}

// queryInteger returns an integer query parameter within the given bounds, or -1 if it is
// absent.
func queryInteger(r *http.Request, name string, minimum, maximum int64) (int64, error) {
	values := r.URL.Query()[name]
	if len(values) == 0 {
		return -1, nil
	}
	value, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || len(values) > 1 || value < minimum || value > maximum {
		return -1, refuse(http.StatusBadRequest, "%s: %.40q is not a number from %d to %d", name, values[0], minimum, maximum)
	}
	return value, nil
}

// writeAnswer sends a response. A client that does not accept it within writeTimeout is
// disconnected.
func (s *Server) writeAnswer(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if s.isStopping() {
		w.Header().Set("Connection", "close")
	}
	control := http.NewResponseController(w)
	control.SetWriteDeadline(time.Now().Add(writeTimeout))
	s.metrics.answers.Add(1)
	_, err := w.Write(body)
	if err = cmp.Or(err, control.Flush()); err != nil { // errors of a short answer appear only in Flush
		s.metrics.aborted.Add(1)
		return
	}
	s.metrics.bytes.Add(int64(len(body)))
}

// writeError sends an error as one line of text, with Retry-After if the service is
// overloaded or unavailable.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		refusal = &Refusal{http.StatusServiceUnavailable, err.Error()}
	}
	if refusal.Status == http.StatusServiceUnavailable {
		s.metrics.overloaded.Add(1)
		w.Header().Set("Retry-After", strconv.FormatFloat(s.randomBetween(minRetryAfter, maxRetryAfter).Seconds(), 'f', 3, 64))
	} else {
		s.metrics.refused.Add(1)
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	http.Error(w, refusal.Text, refusal.Status)
}
