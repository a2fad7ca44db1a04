package scale

import (
	"encoding/json"
	"math"
	"time"
)

// HostConfig configures a process of hollow gateways or backends. It is the first line of the
// process's standard input.
type HostConfig struct {
	Name     string       `json:"name"`
	Seed     uint64       `json:"seed"`
	Gateways *GatewayHost `json:"gateways,omitempty"`
	Backends *BackendHost `json:"backends,omitempty"`
}

// GatewayHost configures a process of hollow gateways.
type GatewayHost struct {
	Gateways []HostedGateway `json:"gateways"`
}

// HostedGateway is one hollow gateway of a GatewayHost.
type HostedGateway struct {
	Gateway
	Config json.RawMessage `json:"config"` // the gateway's configuration file
}

// BackendHost configures a process of hollow backends.
type BackendHost struct {
	Backends          []Backend     `json:"backends"`
	Members           []string      `json:"members"` // addresses of the registry members
	AnswerAddress     string        `json:"answers"` // address at which all backends of the process answer requests
	Connections       int           `json:"connections"`
	RenewInterval     time.Duration `json:"renew"`
	DrainTime         time.Duration `json:"drain"`
	DownTime          time.Duration `json:"down"`
	RegistrationsPerS float64       `json:"register"`
}

// Command is one line sent to a process of hollow gateways or backends. One of its fields is
// set.
type Command struct {
	RestartsPerS *float64       `json:"restarts,omitempty"` // restarts of backends per second
	Stop         *Selection     `json:"stop,omitempty"`     // stop without deregistering
	Resume       *Selection     `json:"resume,omitempty"`
	Sample       *SampleRequest `json:"sample,omitempty"`
	Views        bool           `json:"views,omitempty"`   // request a report of what the gateways hold
	Changes      []Change       `json:"changes,omitempty"` // append these changes to those of the next latency report
	Latency      bool           `json:"latency,omitempty"` // request a latency report; all changes have been sent
}

// SampleRequest requests a Sample.
type SampleRequest struct {
	Collect bool `json:"collect"` // run the garbage collector first, so that the sample shows retained memory
}

// Selection selects hollow gateways and backends. A unit that matches any of its fields is
// selected.
type Selection struct {
	Gateways    int    `json:"gateways"` // gateways with numbers below this
	Backends    int    `json:"backends"`
	Zone        string `json:"zone,omitempty"`
	Region      string `json:"region,omitempty"` // gateways only
	AllGateways bool   `json:"all,omitempty"`    // all gateways, no backends
}

func (c *Selection) includesGateway(p Place) bool {
	return p.Number < c.Gateways || c.Zone != "" && p.Zone == c.Zone || c.Region != "" && p.Region == c.Region || c.AllGateways
}

func (c *Selection) includesBackend(b Backend) bool {
	return b.Number < c.Backends || c.Zone != "" && b.Zone == c.Zone
}

// Change is a change of the list that the registry acknowledged to a backend.
type Change struct {
	Version    int64  `json:"v"`
	AnsweredAt int64  `json:"at"` // Unix nanoseconds
	Backend    int    `json:"b"`
	Service    string `json:"s"`
	Zone       string `json:"z"`
	Region     string `json:"r"`
}

// Report is one line sent by a process of hollow gateways or backends. One of its fields is
// set.
type Report struct {
	Ready   bool     `json:"ready,omitempty"` // all backends are registered, or all gateways have a list
	Changes []Change `json:"changes,omitempty"`
	Sample  *Sample  `json:"sample,omitempty"`
	Views   []View   `json:"views,omitempty"`
	Latency *Latency `json:"latency,omitempty"`
	Failure string   `json:"failed,omitempty"` // never set; kept for the protocol
}

// Sample is the resource usage of a process of hollow gateways or backends since its start,
// and its current state.
type Sample struct {
	CPU              time.Duration `json:"cpu"`
	Mallocs          uint64        `json:"mallocs"`
	AllocatedBytes   uint64        `json:"allocated"` // cumulative
	HeapBytes        uint64        `json:"heap"`      // in use, excluding the measurement's own records
	StackBytes       uint64        `json:"stacks"`
	BaselineBytes    uint64        `json:"empty"` // heap and stacks before the first hollow gateway or backend
	ReadBytes        uint64        `json:"in"`    // by system calls
	WrittenBytes     uint64        `json:"out"`
	Updates          int64         `json:"told"`    // received by gateways
	UpdatedInstances int64         `json:"entries"` // instances in those updates
	Calls            int64         `json:"calls"`   // made by backends
	Refused          int64         `json:"refused"` // calls without an answer, or with a status other than 200
	Serving          int           `json:"serving"` // serving backends
	Settled          bool          `json:"settled"` // all backends that are not stopped serve
	Synced           int           `json:"listed"`  // gateways that have received a list
	Writer           string        `json:"writer"`  // address of the registry process that accepts writes
	Members          MemberSample  `json:"members"`
}

// MemberSample sums up the membership statistics of the gateways of a process.
type MemberSample struct {
	Agents    int   `json:"agents"`
	Sent      int64 `json:"sent"`
	SentBytes int64 `json:"sentBytes"`
	Received  int64 `json:"received"`
	Dropped   int64 `json:"dropped"`
	Present   int64 `json:"present"` // members considered present, summed over gateways
}

// View summarizes the list that a gateway holds.
type View struct {
	Gateway int    `json:"gateway"`
	Version int64  `json:"version"`
	Count   int    `json:"count"`
	Digest  uint64 `json:"digest"` // of instance IDs and lifecycles
}

// Latency is a histogram of the time from the registry's answer to a change until a gateway
// received the change.
type Latency struct {
	Counts  map[int]int64 `json:"counts"` // by milliseconds
	Max     time.Duration `json:"most"`
	Missing int64         `json:"missing"` // pairs of a change and a gateway that did not receive it
}

// maxLatencyMs is the last bucket of Latency.Counts; it also counts longer times.
const maxLatencyMs = 120_000

func (l *Latency) add(took time.Duration) {
	if l.Counts == nil {
		l.Counts = map[int]int64{}
	}
	l.Counts[int(min(max(took.Milliseconds(), 0), maxLatencyMs))]++
	l.Max = max(l.Max, took)
}

func (l *Latency) merge(other *Latency) {
	if l.Counts == nil {
		l.Counts = map[int]int64{}
	}
	for ms, n := range other.Counts {
		l.Counts[ms] += n
	}
	l.Max = max(l.Max, other.Max)
	l.Missing += other.Missing
}

// Count returns the number of recorded times.
func (l *Latency) Count() (n int64) {
	for _, k := range l.Counts {
		n += k
	}
	return n
}

// Quantile returns an upper bound of the given quantile, from 0 to 1, with a resolution of a
// millisecond.
func (l *Latency) Quantile(quantile float64) time.Duration {
	rank := int64(math.Ceil(quantile * float64(l.Count())))
	for ms := range maxLatencyMs + 1 {
		if rank -= l.Counts[ms]; rank <= 0 {
			return min(time.Duration(ms+1)*time.Millisecond, l.Max)
		}
	}
	return l.Max
}
