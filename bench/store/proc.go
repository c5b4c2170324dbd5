package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// clockTicks are the ticks a second of /proc/PID/stat, as Linux shows them to all
// programs.
const clockTicks = 100

// cpuTime is the CPU time that a process has used; 0 if it has ended.
func cpuTime(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the name may hold spaces
	const userField, systemField = 11, 12         // after the name; proc(5) counts from the pid
	fields := strings.Fields(rest)
	var user, system int64
	fmt.Sscan(fields[userField], &user)
	fmt.Sscan(fields[systemField], &system)
	return time.Duration(user+system) * time.Second / clockTicks
}

// residentBytes is the resident memory of a process; 0 if it has ended.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var sizePages, residentPages int64
	fmt.Sscan(string(text), &sizePages, &residentPages)
	return residentPages * int64(os.Getpagesize())
}
