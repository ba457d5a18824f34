package rig

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is how many units of /proc/PID/stat a second of processor time has.
const clockTicks = 100

// ProcessorTime returns the processor time that a process has used.
func ProcessorTime(pid int) time.Duration {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * time.Second / clockTicks
}

// MemoryKB returns the resident memory of a process in KB, PeakMemoryKB its highest since the start of the process or the last ResetPeakMemory. Both
// are 0 if the process does not exist.
func MemoryKB(pid int) int64     { return processStatus(pid, "VmRSS:") }
func PeakMemoryKB(pid int) int64 { return processStatus(pid, "VmHWM:") }

// threadCount returns the number of threads of a process.
func threadCount(pid int) int64 { return processStatus(pid, "Threads:") }

// ResetPeakMemory makes the present resident memory of a process its peak.
func ResetPeakMemory(pid int) error {
	const resetPeak = "5"
	return os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte(resetPeak), 0)
}

// processStatus reads a number from /proc/PID/status, or 0 if it is not there.
func processStatus(pid int, name string) int64 {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(content)) {
		if text, found := strings.CutPrefix(line, name); found {
			value, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			return value
		}
	}
	return 0
}
