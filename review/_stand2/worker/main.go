// worker is a stand-in for what operators run under a lease, or as the maintenance of a machine. It acts
// every 100 ms. After WORKER_SPAN_MS, if that is set, it ends. After SIGTERM it finishes the piece of work
// that it has begun, which takes WORKER_FINISH_MS, and then ends.
package main

import (
	"cmp"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

const actInterval = 100 * time.Millisecond

func main() {
	name := cmp.Or(os.Getenv("WORKER_NAME"), os.Getenv("OXBOWBRIDGE_WORK_NODE"))
	act := func(what string) {
		file, err := os.OpenFile(os.Getenv("WORKER_ACTS"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Fprintf(file, "%d %s %s\n", time.Now().UnixNano(), name, what)
		file.Close()
	}
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM)
	act("begins")
	tick := time.NewTicker(actInterval)
	var end <-chan time.Time
	if span := milliseconds("WORKER_SPAN_MS"); span > 0 {
		end = time.After(span)
	}
	for {
		select {
		case <-told:
			act("is-told-to-stop")
			end = time.After(milliseconds("WORKER_FINISH_MS"))
		case <-end:
			act("ends")
			return
		case <-tick.C:
			act("acts")
		}
	}
}

func milliseconds(name string) time.Duration {
	n, _ := strconv.Atoi(os.Getenv(name))
	return time.Duration(n) * time.Millisecond
}
