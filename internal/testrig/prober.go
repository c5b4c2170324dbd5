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
	proberTimeout = 500 * time.Millisecond // timeout of one write
	proberPause   = 5 * time.Millisecond   // pause between two writes
)

// writeInterval is the time from the start of a write to its acknowledgment.
type writeInterval struct{ started, ended time.Time }

// Prober continuously writes one key, to each node in turn. It records the start and end times of the
// writes that succeeded.
type Prober struct {
	mu     sync.Mutex
	writes []writeInterval
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

// write writes the number n to the node with the given admin address.
func (p *Prober) write(client *http.Client, admin string, n int) {
	started := time.Now()
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
	p.writes = append(p.writes, writeInterval{started, time.Now()})
}

// FirstWriteAfter returns when the first successful write that started at or after a given time ended. It
// reports false if there is no such write, or no write that started before that time.
func (p *Prober) FirstWriteAfter(at time.Time) (ended time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.writes) - 1; i >= 0; i-- {
		if !p.writes[i].started.Before(at) {
			continue
		}
		if i+1 < len(p.writes) {
			return p.writes[i+1].ended, true
		}
		return time.Time{}, false
	}
	return time.Time{}, false
}
