package scale

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// backendFleet are the hollow backends of a process. One goroutine has the churn; others
// make its calls.
type backendFleet struct {
	config   *BackendHost
	client   *writeClient
	server   *http.Server // answers requests of real gateways, for all backends
	listener net.Listener
	churn    *churn

	commands      chan Command
	stateRequests chan chan churnState
	calls         atomic.Int64 // calls
	refused       atomic.Int64
	ended         chan struct{}
}

// churnState is what the churn tells.
type churnState struct {
	serving int
	settled bool
}

// answer is how a call went.
type callResult struct {
	call       call
	status     int
	version    int64
	answeredAt int64 // Unix nanoseconds
}

func newBackendFleet(c *BackendHost, seed uint64) (*backendFleet, error) {
	door, err := net.Listen("tcp", c.AnswerAddress)
	if err != nil {
		return nil, err
	}
	settings := churnSettings{RenewInterval: c.RenewInterval, DrainTime: c.DrainTime, DownTime: c.DownTime, RegistrationsPerS: c.RegistrationsPerS}
	f := &backendFleet{config: c, listener: door, client: newWriteClient(c.Members, c.AnswerAddress, c.Connections),
		churn:    newChurn(c.Backends, settings, rand.New(rand.NewPCG(seed, 1))),
		commands: make(chan Command, 1), stateRequests: make(chan chan churnState), ended: make(chan struct{})}
	f.server = &http.Server{ReadHeaderTimeout: backendCallTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "served\n")
	})}
	return f, nil
}

// warmSince is for how long backends are said to have been up at the start of a run: real
// gateways send little to cold ones.
const initialUptime = 10 * time.Minute

const changeReportInterval = 200 * time.Millisecond // between two reports of changes

func (f *backendFleet) run(ctx context.Context, ready func(), changed func([]Change)) {
	defer close(f.ended)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.server.Serve(f.listener) })
	defer f.server.Close()
	calls, answers := make(chan call), make(chan callResult)
	for range f.config.Connections {
		wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case k := <-calls:
					status, version := f.client.do(ctx, k)
					select {
					case answers <- callResult{k, status, version, time.Now().UnixNano()}:
					case <-ctx.Done():
						return
					}
				}
			}
		})
	}
	f.loop(ctx, calls, answers, ready, changed)
}

// loop has the churn.
func (f *backendFleet) loop(ctx context.Context, calls chan<- call, answers <-chan callResult, ready func(), changed func([]Change)) {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	f.churn.start(now(), began.Add(-initialUptime).UnixMilli())
	var due []call // that wait for a connection
	var changes []Change
	told := false
	timer := time.NewTimer(0)
	defer timer.Stop()
	report := time.NewTicker(changeReportInterval)
	defer report.Stop()
	for {
		due = append(due, f.churn.dueCalls(now())...)
		var out chan<- call
		var first call
		for len(due) > 0 && due[0].incarnation != due[0].backend.incarnation {
			due = due[1:] // it was stopped meanwhile
		}
		if len(due) > 0 {
			out, first = calls, due[0]
		}
		if at, ok := f.churn.nextDue(); ok {
			timer.Reset(max(0, at-now()))
		}
		select {
		case <-ctx.Done():
			return
		case out <- first:
			due = due[1:]
		case a := <-answers:
			f.calls.Add(1)
			if a.status != http.StatusOK {
				f.refused.Add(1)
			}
			if f.churn.handleResult(now(), time.Now().UnixMilli(), a.call, a.status, a.version) {
				b := a.call.backend
				changes = append(changes, Change{Version: a.version, AnsweredAt: a.answeredAt, Backend: b.Number, Service: b.Service, Zone: b.Zone, Region: b.Region})
			}
		case c := <-f.commands:
			f.apply(c, now())
		case state := <-f.stateRequests:
			state <- churnState{f.churn.serving, f.churn.settled()}
		case <-report.C:
			if len(changes) > 0 {
				changed(changes)
				changes = nil
			}
			if !told && f.churn.settled() {
				told = true
				ready()
			}
		case <-timer.C:
		}
	}
}

func (f *backendFleet) apply(c Command, now time.Duration) {
	started := time.Now().UnixMilli()
	switch {
	case c.RestartsPerS != nil:
		f.churn.setRestarts(now, *c.RestartsPerS)
	case c.Stop != nil:
		f.churn.stop(c.Stop.includesBackend)
	case c.Resume != nil:
		f.churn.resume(now, started, c.Resume.includesBackend)
	}
}

func (f *backendFleet) execute(c Command) {
	select {
	case f.commands <- c:
	case <-f.ended:
	}
}

func (f *backendFleet) sample(s *Sample) {
	s.Calls, s.Refused, s.Writer = f.calls.Load(), f.refused.Load(), f.client.target()
	state := make(chan churnState, 1)
	select {
	case f.stateRequests <- state:
		told := <-state
		s.Serving, s.Settled = told.serving, told.settled
	case <-f.ended:
	}
}

func (f *backendFleet) views() []View { return nil }

func (f *backendFleet) latency([]Change) *Latency { return &Latency{} }
