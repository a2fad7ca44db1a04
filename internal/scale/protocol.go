package scale

import (
	"encoding/json"
	"math"
	"time"
)

// HostConfig is what a process of hollow gateways or backends is told at its start, on
// the first line of its standard input.
type HostConfig struct {
	Name     string       `json:"name"`
	Seed     uint64       `json:"seed"`
	Gateways *GatewayHost `json:"gateways,omitempty"`
	Backends *BackendHost `json:"backends,omitempty"`
}

// GatewayHost is a process of hollow gateways.
type GatewayHost struct {
	Gateways []HostedGateway `json:"gateways"`
}

// HostedGateway is one of them.
type HostedGateway struct {
	Gateway
	Config json.RawMessage `json:"config"` // as a gateway's file has it
}

// BackendsHost is a process of hollow backends.
type BackendHost struct {
	Backends          []Backend     `json:"backends"`
	Members           []string      `json:"members"` // list services that they call
	AnswerAddress     string        `json:"answers"` // where all of them answer requests
	Connections       int           `json:"connections"`
	RenewInterval     time.Duration `json:"renew"`
	DrainTime         time.Duration `json:"drain"`
	DownTime          time.Duration `json:"down"`
	RegistrationsPerS float64       `json:"register"`
}

// Command is one line that a process of hollow ones is told.
type Command struct {
	RestartsPerS *float64       `json:"restarts,omitempty"` // backends restart so often in a second
	Stop         *Selection     `json:"stop,omitempty"`     // without a word
	Resume       *Selection     `json:"resume,omitempty"`
	Sample       *SampleRequest `json:"sample,omitempty"`
	Views        bool           `json:"views,omitempty"`   // tell what gateways hold
	Changes      []Change       `json:"changes,omitempty"` // tell when the gateways heard of these
	Latency      bool           `json:"latency,omitempty"` // the changes are complete
}

// Sampler asks for a sample.
type SampleRequest struct {
	Collect bool `json:"collect"` // after a collection of garbage, so that what is held is told
}

// Chosen are hollow gateways and backends.
type Selection struct {
	Gateways    int    `json:"gateways"` // with numbers below it
	Backends    int    `json:"backends"`
	Zone        string `json:"zone,omitempty"`
	Region      string `json:"region,omitempty"` // gateways alone
	AllGateways bool   `json:"all,omitempty"`    // gateways alone
}

func (c *Selection) includesGateway(p Place) bool {
	return p.Number < c.Gateways || c.Zone != "" && p.Zone == c.Zone || c.Region != "" && p.Region == c.Region || c.AllGateways
}

func (c *Selection) includesBackend(b Backend) bool {
	return b.Number < c.Backends || c.Zone != "" && b.Zone == c.Zone
}

// Change is one of the list that a backend was answered.
type Change struct {
	Version    int64  `json:"v"`
	AnsweredAt int64  `json:"at"` // Unix nanoseconds of the answer
	Backend    int    `json:"b"`
	Service    string `json:"s"`
	Zone       string `json:"z"`
	Region     string `json:"r"`
}

// Report is one line that a process of hollow ones tells. One of its parts is there.
type Report struct {
	Ready   bool     `json:"ready,omitempty"` // all are there: on the list, or with a list
	Changes []Change `json:"changes,omitempty"`
	Sample  *Sample  `json:"sample,omitempty"`
	Views   []View   `json:"views,omitempty"`
	Latency *Latency `json:"latency,omitempty"`
	Failure string   `json:"failed,omitempty"`
}

// Sample is what a process of hollow ones has used since its start, and holds.
type Sample struct {
	CPU              time.Duration `json:"cpu"`
	Mallocs          uint64        `json:"mallocs"`
	AllocatedBytes   uint64        `json:"allocated"` // bytes
	HeapBytes        uint64        `json:"heap"`      // bytes in use, less what the measurement itself keeps
	StackBytes       uint64        `json:"stacks"`
	BaselineBytes    uint64        `json:"empty"` // heap and stacks before the first hollow one
	ReadBytes        uint64        `json:"in"`    // bytes read by system calls
	WrittenBytes     uint64        `json:"out"`
	Updates          int64         `json:"told"`    // answers that told something new to gateways
	UpdatedInstances int64         `json:"entries"` // instances in them
	Calls            int64         `json:"calls"`   // of backends
	Refused          int64         `json:"refused"` // of them, answered other than with 200, or not
	Serving          int           `json:"serving"` // backends
	Settled          bool          `json:"settled"` // every backend that was not stopped serves
	Synced           int           `json:"listed"`  // gateways with a list
	Writer           string        `json:"writer"`  // the list service that answers writes
	Members          MemberSample  `json:"members"`
}

// MemberSample is the membership of the gateways of a process, added up.
type MemberSample struct {
	Agents    int   `json:"agents"`
	Sent      int64 `json:"sent"`
	SentBytes int64 `json:"sentBytes"`
	Received  int64 `json:"received"`
	Dropped   int64 `json:"dropped"`
	Present   int64 `json:"present"` // members that each holds present, added up
}

// View is what a gateway holds of the list.
type View struct {
	Gateway int    `json:"gateway"`
	Version int64  `json:"version"`
	Count   int    `json:"count"`
	Digest  uint64 `json:"digest"` // of names and lifecycles
}

// Latency counts how long changes took to gateways.
type Latency struct {
	Counts  map[int]int64 `json:"counts"` // by milliseconds
	Max     time.Duration `json:"most"`
	Missing int64         `json:"missing"` // changes that a gateway was never told, one for each gateway
}

// mostMillis is the last count, for all that took longer.
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

// All is how many there are.
func (l *Latency) Count() (n int64) {
	for _, k := range l.Counts {
		n += k
	}
	return n
}

// Quantile is the time that a share of them took at most, to the millisecond.
func (l *Latency) Quantile(quantile float64) time.Duration {
	rank := int64(math.Ceil(quantile * float64(l.Count())))
	for ms := range maxLatencyMs + 1 {
		if rank -= l.Counts[ms]; rank <= 0 {
			return min(time.Duration(ms+1)*time.Millisecond, l.Max)
		}
	}
	return l.Max
}
