package scale

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
)

// ResourceUsage is the usage of a process as /proc reports it.
type ResourceUsage struct {
	CPU                     time.Duration // user and system time, in units of clockTick
	MemoryMB                float64       // resident set size
	ReadBytes, WrittenBytes uint64        // by read and write calls, on sockets and on files
	StoredBytes             uint64        // written to storage
}

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = time.Second / 100

var errMalformedStat = errors.New("malformed line in /proc/PID/stat")

// readUsage reads the usage of the process with the given ID; "self" is the calling process.
func readUsage(pid string) (ResourceUsage, error) {
	var usage ResourceUsage
	stat, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return usage, err
	}
	// The command name is in parentheses and may contain spaces. User and system time are the
	// twelfth and thirteenth fields after it.
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

// readCounters reads a file of lines "key: number".
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
