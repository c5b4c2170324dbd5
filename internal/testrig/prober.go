package testrig

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	proberTimeout = 500 * time.Millisecond // of one write
	proberPause   = 5 * time.Millisecond   // between two writes
)

// interval is the time from the begin of a write to its acknowledgment.
type interval struct{ began, ended time.Time }

// Prober writes one key without pause, at all nodes in turn, and records when writes
// that succeeded began and ended.
type Prober struct {
	mu     sync.Mutex
	writes []interval
}

// Run writes until stop is closed.
func (p *Prober) Run(c *Cluster, stop <-chan struct{}) {
	client := &http.Client{Timeout: proberTimeout}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		p.write(client, c.Peers[n%len(c.Peers)].Admin, n)
		time.Sleep(proberPause)
	}
}

// write writes a number at one node.
func (p *Prober) write(client *http.Client, admin string, n int) {
	began := time.Now()
	req, err := http.NewRequest(http.MethodPut, "http://"+admin+"/store/probe", strings.NewReader(fmt.Sprint(n)))
	if err != nil {
		panic(err)
	}
	res, err := client.Do(req)
	if err != nil {
		return
	}
	io.Copy(io.Discard, res.Body)
	res.Body.Close()
	if res.StatusCode != http.StatusNoContent {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes = append(p.writes, interval{began, time.Now()})
}

// FirstWriteAfter is when the first write ended that began after a time. There is none
// if no write began before that time.
func (p *Prober) FirstWriteAfter(at time.Time) (ended time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.writes) - 1; i >= 0; i-- {
		if !p.writes[i].began.Before(at) {
			continue
		}
		if i+1 < len(p.writes) {
			return p.writes[i+1].ended, true
		}
		return time.Time{}, false
	}
	return time.Time{}, false
}
