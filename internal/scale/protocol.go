package scale

import (
	"encoding/json"
	"math"
	"time"
)

// HostConfig is what a process of hollow gateways or backends is told at its start, on
// the first line of its standard input.
type HostConfig struct {
	Name     string        `json:"name"`
	Seed     uint64        `json:"seed"`
	Gateways *GatewayHost  `json:"gateways,omitempty"`
	Backends *BackendsHost `json:"backends,omitempty"`
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
type BackendsHost struct {
	Backends    []Backend     `json:"backends"`
	Members     []string      `json:"members"` // list services that they call
	Answers     string        `json:"answers"` // where all of them answer requests
	Connections int           `json:"connections"`
	Renew       time.Duration `json:"renew"`
	Drain       time.Duration `json:"drain"`
	Down        time.Duration `json:"down"`
	Register    float64       `json:"register"`
}

// Command is one line that a process of hollow ones is told.
type Command struct {
	Restarts *float64 `json:"restarts,omitempty"` // backends restart so often in a second
	Stop     *Chosen  `json:"stop,omitempty"`     // without a word
	Resume   *Chosen  `json:"resume,omitempty"`
	Sample   *Sampler `json:"sample,omitempty"`
	Views    bool     `json:"views,omitempty"`   // tell what gateways hold
	Changes  []Change `json:"changes,omitempty"` // tell when the gateways heard of these
	Latency  bool     `json:"latency,omitempty"` // the changes are complete
}

// Sampler asks for a sample.
type Sampler struct {
	Collect bool `json:"collect"` // after a collection of garbage, so that what is held is told
}

// Chosen are hollow gateways and backends.
type Chosen struct {
	Gateways int    `json:"gateways"` // with numbers below it
	Backends int    `json:"backends"`
	Zone     string `json:"zone,omitempty"`
	Region   string `json:"region,omitempty"` // gateways alone
	All      bool   `json:"all,omitempty"`    // gateways alone
}

func (c *Chosen) gateway(p Place) bool {
	return p.Number < c.Gateways || c.Zone != "" && p.Zone == c.Zone || c.Region != "" && p.Region == c.Region || c.All
}

func (c *Chosen) backend(b Backend) bool {
	return b.Number < c.Backends || c.Zone != "" && b.Zone == c.Zone
}

// Change is one of the list that a backend was answered.
type Change struct {
	Version int64  `json:"v"`
	At      int64  `json:"at"` // Unix nanoseconds of the answer
	Backend int    `json:"b"`
	Service string `json:"s"`
	Zone    string `json:"z"`
	Region  string `json:"r"`
}

// Report is one line that a process of hollow ones tells. One of its parts is there.
type Report struct {
	Ready   bool     `json:"ready,omitempty"` // all are there: on the list, or with a list
	Changes []Change `json:"changes,omitempty"`
	Sample  *Sample  `json:"sample,omitempty"`
	Views   []View   `json:"views,omitempty"`
	Latency *Latency `json:"latency,omitempty"`
	Failed  string   `json:"failed,omitempty"`
}

// Sample is what a process of hollow ones has used since its start, and holds.
type Sample struct {
	CPU       time.Duration `json:"cpu"`
	Mallocs   uint64        `json:"mallocs"`
	Allocated uint64        `json:"allocated"` // bytes
	Heap      uint64        `json:"heap"`      // bytes in use, less what the measurement itself keeps
	Stacks    uint64        `json:"stacks"`
	Empty     uint64        `json:"empty"` // heap and stacks before the first hollow one
	In        uint64        `json:"in"`    // bytes read by system calls
	Out       uint64        `json:"out"`
	Told      int64         `json:"told"`    // answers that told something new to gateways
	Entries   int64         `json:"entries"` // instances in them
	Calls     int64         `json:"calls"`   // of backends
	Refused   int64         `json:"refused"` // of them, answered other than with 200, or not
	Serving   int           `json:"serving"` // backends
	Settled   bool          `json:"settled"` // every backend that was not stopped serves
	Listed    int           `json:"listed"`  // gateways with a list
	Writer    string        `json:"writer"`  // the list service that answers writes
	Members   MemberSample  `json:"members"`
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
	Most    time.Duration `json:"most"`
	Missing int64         `json:"missing"` // changes that a gateway was never told, one for each gateway
}

// mostMillis is the last count, for all that took longer.
const mostMillis = 120_000

func (l *Latency) add(took time.Duration) {
	if l.Counts == nil {
		l.Counts = map[int]int64{}
	}
	l.Counts[int(min(max(took.Milliseconds(), 0), mostMillis))]++
	l.Most = max(l.Most, took)
}

func (l *Latency) merge(other *Latency) {
	if l.Counts == nil {
		l.Counts = map[int]int64{}
	}
	for ms, n := range other.Counts {
		l.Counts[ms] += n
	}
	l.Most = max(l.Most, other.Most)
	l.Missing += other.Missing
}

// All is how many there are.
func (l *Latency) All() (n int64) {
	for _, k := range l.Counts {
		n += k
	}
	return n
}

// Quantile is the time that a share of them took at most, to the millisecond.
func (l *Latency) Quantile(share float64) time.Duration {
	rank := int64(math.Ceil(share * float64(l.All())))
	for ms := range mostMillis + 1 {
		if rank -= l.Counts[ms]; rank <= 0 {
			return min(time.Duration(ms+1)*time.Millisecond, l.Most)
		}
	}
	return l.Most
}
