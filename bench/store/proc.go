package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// clockTicksPerSecond is the unit of the times in /proc/PID/stat. Linux always reports 100 ticks per second
// to user space.
const clockTicksPerSecond = 100

// cpuTime returns the CPU time that a process has used, or 0 if the process has exited.
func cpuTime(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the process name may contain spaces
	const userField, systemField = 11, 12         // indexes after the process name; proc(5) counts from the pid
	fields := strings.Fields(rest)
	var user, system int64
	fmt.Sscan(fields[userField], &user)
	fmt.Sscan(fields[systemField], &system)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// residentBytes returns the resident memory of a process, or 0 if the process has exited.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var sizePages, residentPages int64
	fmt.Sscan(string(text), &sizePages, &residentPages)
	return residentPages * int64(os.Getpagesize())
}
