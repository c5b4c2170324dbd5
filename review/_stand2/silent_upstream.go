package main

import (
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	upstreams     = 5 // one of them goes silent, a fifth
	upstreamRun   = 200 * time.Millisecond
	burstInterval = 10500 * time.Millisecond
	burstSize     = 12
	bursts        = 10
	lastBursts    = 3               // bursts at the end, of which something must be served
	silentAfter   = 1               // number of bursts before the upstream goes silent
	cores         = 4               // as in deploy/operator.json
	deadline      = 7 * time.Second // of each class
)

// siteClasses are the classes of the site sfax-main.
var siteClasses = []map[string]any{
	{"name": "recipe-lookup", "aim_ns": 2_100_000_000, "deadline_ns": 7_000_000_000, "effect": "idempotent", "late_share": 0, "value": 1},
	{"name": "tint-calc", "aim_ns": 2_100_000_000, "deadline_ns": 7_000_000_000, "effect": "idempotent", "late_share": 0.2, "value": 2},
	{"name": "batch-record", "aim_ns": 2_100_000_000, "deadline_ns": 7_000_000_000, "effect": "deduplicated", "window_ns": 21_111_000_000, "late_share": 0, "value": 5},
}

func main() { runCase(playSilentUpstream) }

// playSilentUpstream sends bursts of requests to a service that runs them at five AJP upstreams. The trouble: one
// of these goes silent, and its connections stay open. The service must go on with the other four.
func playSilentUpstream(r *rig) []string {
	config := r.operatorConfig("examples/config.json")
	address := r.freeAddress()
	config["listen"] = address
	delete(config, "engine")
	delete(config, "records")
	config["lookup"] = r.freeAddress()
	settings := config["settings"].(map[string]any)
	info := settings["family_info"].(map[string]any)
	info["halt"], info["below"], info["cores"] = "none", "none", cores
	delete(info, "class_calls")
	settings["classes"] = siteClasses
	var addresses []any
	var servers []*proc
	record := filepath.Join(r.dir, "runs.txt")
	for i := range upstreams {
		a := r.freeAddress()
		addresses = append(addresses, a)
		servers = append(servers, r.start(fmt.Sprintf("upstream-%d", i+1), nil, filepath.Join(r.root, "bin", "review-2", "upstream"),
			"-listen", a, "-span", upstreamRun.String(), "-record", record))
	}
	config["ajp"] = map[string]any{"upstreams": addresses}
	service := r.startService("n1", config)
	if !await(20*time.Second, func() bool { return isHealthy(address) }) {
		r.fail("the service did not get ready: %s", service.logTail(10, "{"))
	}
	served := make([]int, bursts)
	for b := range bursts {
		started := time.Now()
		if r.trouble && b == silentAfter {
			servers[0].signal(syscall.SIGSTOP)
			r.note("upstream 1 goes silent, its connections stay open")
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range burstSize {
			class := siteClasses[i%len(siteClasses)]
			q := request{class: class["name"].(string), trace: newTraceID(), body: fmt.Sprintf("burst %d request %d", b+1, i+1)}
			if class["effect"] == "deduplicated" {
				q.key = newTraceID() + newTraceID()
			}
			r.note("sent: %s %s %s", q.trace, q.class, q.body)
			wg.Go(func() {
				a, err := send(address, q, deadline+2*time.Second)
				r.note("answered: %s %v %v", q.trace, a, err)
				mu.Lock()
				defer mu.Unlock()
				if err == nil && a.status == 200 {
					served[b]++
				}
			})
		}
		wg.Wait()
		r.note("burst %d: %d of %d served, healthy: %v", b+1, served[b], burstSize, isHealthy(address))
		if b+1 < bursts {
			time.Sleep(time.Until(started.Add(burstInterval)))
		}
	}
	for i, a := range addresses[1:] {
		if err := pingUpstream(a.(string)); err != nil {
			r.fail("upstream %d does not answer a health check: %v", i+2, err)
		}
		r.note("upstream %d answers a health check", i+2)
	}
	r.note("runs that reached an upstream:\n%s", strings.TrimSpace(readText(record)))
	r.note("log of the service:\n%s", service.logTail(12, "warn", "health"))
	last := 0
	for _, n := range served[bursts-lastBursts:] {
		last += n
	}
	if served[0] == 0 {
		r.fail("nothing was served before the disruption")
	}
	if last > 0 {
		return nil
	}
	return []string{fmt.Sprintf("of the last %d requests, sent in %d bursts over %v, none was served, with four sound upstreams idle",
		lastBursts*burstSize, lastBursts, (lastBursts-1)*burstInterval)}
}

// pingUpstream sends a CPING and waits for the CPONG.
func pingUpstream(address string) error {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	conn.Write([]byte{0x12, 0x34, 0, 1, 10})
	pong := make([]byte, 5)
	if _, err := io.ReadFull(conn, pong); err != nil {
		return err
	}
	if pong[4] != 9 {
		return fmt.Errorf("unexpected packet %x", pong)
	}
	return nil
}
