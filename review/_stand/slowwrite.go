package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// The page's limits: some requests are written in 2 s; up to 3 in 1,000 may lack a final answer.
const (
	slowWriteTime  = 2 * time.Second
	slowWritePiece = 100 * time.Millisecond
	allowedShare   = 3.0 / 1000
)

// slowWrite writes some requests in 2 s, on connections that have served requests before, beside ordinary ones.
func slowWrite(p *play) (bool, error) {
	eng, err := startEngine(p.rec, 20*time.Millisecond, nil)
	if err != nil {
		return false, err
	}
	eng.longClass, eng.longTime = "balance-view", 3*time.Second
	c, err := baseConfig(p.root)
	if err != nil {
		return false, err
	}
	c["listen"] = freeAddr()
	c["engine"] = eng.addr()
	c["settings"].(object)["family_info"].(object)["cores"] = 6
	proc, _, err := p.service("service", c)
	if err != nil {
		return false, err
	}
	addr := c["listen"].(string)
	var sent, answered, lost, slowSent, slowLost, slowLostOpen, afterSent, afterLost atomic.Int64
	var wg sync.WaitGroup
	// Ordinary traffic: requests written at once on kept connections.
	for k := range 4 {
		wg.Go(func() {
			b, err := dialBalancer(addr)
			if err != nil {
				return
			}
			defer b.conn.Close()
			for n := range 100 {
				sent.Add(1)
				trace := newTraceID()
				a, err := b.call(trace, "cycle-check", "", fmt.Sprintf("plain %d %d", k, n), 8*time.Second)
				if err != nil {
					lost.Add(1)
					p.rec.line("balancer plain  %s lost: %v", trace, err)
					if b, err = dialBalancer(addr); err != nil {
						return
					}
				} else {
					answered.Add(1)
					p.rec.line("balancer plain  %s answered %d", trace, a.status)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	// Slow writers. Two of the six keep another request open on the connection meanwhile.
	for k := range 6 {
		wg.Go(func() {
			time.Sleep(time.Duration(k) * 37 * time.Millisecond)
			for n := range 4 {
				r := slowRequest(p, addr, k, n, k < 2)
				if r.notRun {
					continue
				}
				sent.Add(int64(1 + r.after))
				slowSent.Add(1)
				afterSent.Add(int64(r.after))
				afterLost.Add(int64(r.afterLost))
				none := r.afterLost
				if r.slowLost {
					slowLost.Add(1)
					none++
					if r.wholeOnOpen {
						slowLostOpen.Add(1)
					}
				}
				lost.Add(int64(none))
				answered.Add(int64(1 + r.after - none))
			}
		})
	}
	wg.Wait()
	if !proc.running() {
		p.rec.both("the service has ended")
		return true, nil
	}
	total, none := sent.Load(), lost.Load()
	if slowSent.Load() == 0 {
		return false, fmt.Errorf("%w: no slow request was sent", errNotRun)
	}
	p.rec.both("requests %d, answered %d, without an answer %d (of %d slow ones: %d; of %d written at once behind one on its connection: %d); allowed %.1f",
		total, answered.Load(), none, slowSent.Load(), slowLost.Load(), afterSent.Load(), afterLost.Load(), allowedShare*float64(total))
	p.rec.both("of the %d, %d were written whole while the service had not closed the connection", none, slowLostOpen.Load()+afterLost.Load())
	return float64(none) > allowedShare*float64(total), nil
}

// slowResult counts the requests of one connection that were written whole, or as far as the service let them.
type slowResult struct {
	notRun   bool // the connection could not be prepared
	slowLost bool
	// wholeOnOpen: the last byte was written while the service had not closed its side of the connection.
	wholeOnOpen bool
	after       int // requests written at once after the slow one, on the same connection
	afterLost   int
}

// answerLimit is how long after its acceptance a cycle-check may be answered: its deadline of 7.2 s, the slack
// of 80 ms and the 50 ms of the rules on sockets.
const answerLimit = 7200*time.Millisecond + 80*time.Millisecond + 50*time.Millisecond

// slowRequest opens a connection, gets one request served on it, and then writes a second one in pieces over
// 2 s. With beside, a long request stays open on the connection meanwhile, and three more requests follow the
// slow one at once, while the connection still stands.
func slowRequest(p *play, addr string, k, n int, beside bool) (r slowResult) {
	b, err := dialBalancer(addr)
	if err != nil {
		p.rec.line("balancer slow   no connection: %v", err)
		return slowResult{notRun: true}
	}
	defer b.conn.Close()
	for try := 0; ; try++ {
		a, err := b.call(newTraceID(), "cycle-check", "", fmt.Sprintf("first %d %d", k, n), 8*time.Second)
		if err == nil && a.status == 200 {
			break
		}
		p.rec.line("balancer slow   first request on the connection: %d %v", a.status, err)
		if err != nil || try == 5 {
			return slowResult{notRun: true}
		}
		time.Sleep(200 * time.Millisecond)
	}
	var other chan answer
	if beside {
		id, ch := b.register()
		other = ch
		b.write(encode(id, newTraceID(), "balance-view", "", "beside", time.Now()))
	}
	trace := newTraceID()
	begun := time.Now()
	id, ch := b.register()
	message := encode(id, trace, "cycle-check", "", fmt.Sprintf("slow %d %d", k, n), begun)
	pieces := 1
	if p.trouble {
		pieces = int(slowWriteTime/slowWritePiece) + 1
	}
	for i := range pieces {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * slowWritePiece)))
		if err := b.write(message[len(message)*i/pieces : len(message)*(i+1)/pieces]); err != nil {
			p.rec.line("balancer slow   %s piece %d of %d not written after %v: %v", trace, i+1, pieces, time.Since(begun).Round(time.Millisecond), err)
			return slowResult{slowLost: true}
		}
	}
	p.rec.line("balancer slow   %s last byte written after %v", trace, time.Since(begun).Round(time.Millisecond))
	select {
	case <-b.done:
		p.rec.line("balancer slow   %s the service had closed its side before the last byte", trace)
	default:
		r.wholeOnOpen = true
	}
	var wg sync.WaitGroup
	var afterLost atomic.Int64
	if beside {
		if r.wholeOnOpen { // else nothing more is sent on the connection
			r.after = 3
		}
		for m := range r.after {
			wg.Go(func() {
				trace := newTraceID()
				p.rec.line("balancer after  %s written at once on the same connection", trace)
				a, err := b.call(trace, "cycle-check", "", fmt.Sprintf("after %d %d %d", k, n, m), answerLimit)
				if err != nil {
					afterLost.Add(1)
					p.rec.line("balancer after  %s LOST, no answer: %v", trace, err)
				} else {
					p.rec.line("balancer after  %s answered %d", trace, a.status)
				}
			})
		}
	}
	a, err := b.await(ch, time.Until(begun.Add(answerLimit)))
	if err != nil {
		r.slowLost = true
		p.rec.line("balancer slow   %s LOST, no answer: %v (after %v)", trace, err, time.Since(begun).Round(time.Millisecond))
	} else {
		p.rec.line("balancer slow   %s answered %d after %v", trace, a.status, time.Since(begun).Round(time.Millisecond))
	}
	wg.Wait()
	r.afterLost = int(afterLost.Load())
	if other != nil {
		o, oerr := b.await(other, 12*time.Second)
		p.rec.line("balancer beside %s answered %d %v", trace, o.status, oerr)
	}
	return r
}
