package scale

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
)

// Use is what the system tells of a process.
type ResourceUsage struct {
	CPU                     time.Duration // user and system, in steps of clockTick
	MemoryMB                float64       // resident
	ReadBytes, WrittenBytes uint64        // bytes of read and write calls: sockets, and files such as logs
	StoredBytes             uint64        // bytes written to storage
}

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = time.Second / 100

var errMalformedStat = errors.New("its figures can't be read")

// readUse reads the figures of a process; "self" is this one.
func readUsage(pid string) (ResourceUsage, error) {
	var usage ResourceUsage
	stat, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return usage, err
	}
	// The name, in parentheses, may hold anything; user and system time are the twelfth and
	// thirteenth fields behind it.
	_, rest, found := bytes.Cut(stat, []byte(") "))
	fields := strings.Fields(string(rest))
	const user, system = 11, 12
	if !found || len(fields) <= system {
		return usage, errMalformedStat
	}
	var userTicks, systemTicks int64
	if _, err := fmt.Sscan(fields[user]+" "+fields[system], &userTicks, &systemTicks); err != nil {
		return usage, err
	}
	usage.CPU = time.Duration(userTicks+systemTicks) * clockTick
	ioCounters, err := readCounters("/proc/" + pid + "/io")
	if err != nil {
		return usage, err
	}
	usage.ReadBytes, usage.WrittenBytes, usage.StoredBytes = ioCounters["rchar"], ioCounters["wchar"], ioCounters["write_bytes"]
	status, err := readCounters("/proc/" + pid + "/status")
	if err != nil {
		return usage, err
	}
	usage.MemoryMB = float64(status["VmRSS"]) / 1024
	return usage, nil
}

// readKeys reads a file of lines "key: number".
func readCounters(path string) (map[string]uint64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	counters := map[string]uint64{}
	for line := range strings.Lines(string(text)) {
		key, value, _ := strings.Cut(line, ":")
		var parsed uint64
		if _, err := fmt.Sscan(value, &parsed); err == nil {
			counters[key] = parsed
		}
	}
	return counters, nil
}
