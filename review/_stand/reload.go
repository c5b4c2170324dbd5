package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// reloadLacksKey replaces the configuration under load by one that lacks a key, and sends SIGHUP. With
// TROUBLE=0 the new file is complete.
func reloadLacksKey(p *play) (bool, error) {
	eng, err := startEngine(p.rec, 30*time.Millisecond, map[string]bool{"nom-submit": true, "nom-update": true})
	if err != nil {
		return false, err
	}
	tier, err := startRecords(p.rec, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	c, err := baseConfig(p.root)
	if err != nil {
		return false, err
	}
	c["listen"], c["engine"], c["records"] = freeAddr(), eng.addr(), tier.addr()
	proc, config, err := p.service("service", c)
	if err != nil {
		return false, err
	}
	addr := c["listen"].(string)
	// counts[phase] is before or after the new file.
	var mu sync.Mutex
	var counts [2]struct{ served, refused, failed, none int }
	begun := time.Now()
	const change, end = 3 * time.Second, 10 * time.Second
	var wg sync.WaitGroup
	for k := range 4 {
		wg.Go(func() {
			b, err := dialBalancer(addr)
			if err != nil {
				return
			}
			defer b.conn.Close()
			for n := 0; time.Since(begun) < end; n++ {
				trace := newTraceID()
				class := []string{"nom-submit", "nom-update"}[n%2]
				sentAt := time.Since(begun)
				a, err := b.call(trace, class, "", fmt.Sprintf("volume %d %d", k, n), 13*time.Second)
				p.rec.line("balancer %s %s answered %d %v", trace, class, a.status, err)
				phase := 0
				switch {
				case sentAt > change+500*time.Millisecond:
					phase = 1
				case time.Since(begun) > change: // sent or answered about the time of the signal
					time.Sleep(100 * time.Millisecond)
					continue
				}
				mu.Lock()
				switch {
				case err != nil:
					counts[phase].none++
				case a.status == 200:
					counts[phase].served++
				case a.status == 429 || a.status == 503:
					counts[phase].refused++
				default:
					counts[phase].failed++
				}
				mu.Unlock()
				if err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(begun.Add(change)))
	if p.trouble {
		delete(c, "records")
	}
	if err := writeJSON(config, c); err != nil {
		return false, err
	}
	proc.signal(syscall.SIGHUP)
	p.rec.both("new file, with records: %v; SIGHUP", c["records"] != nil)
	wg.Wait()
	if !proc.running() {
		return false, fmt.Errorf("%w: the service has ended", errNotRun)
	}
	for i, when := range []string{"before", "after"} {
		n := counts[i]
		p.rec.both("%s the new file: served %d, refused %d, failed %d, without an answer %d", when, n.served, n.refused, n.failed, n.none)
	}
	if counts[0].served == 0 || counts[0].failed > 0 {
		return false, fmt.Errorf("%w: the calm part was not calm", errNotRun)
	}
	return counts[1].failed+counts[1].none > 0, nil
}
