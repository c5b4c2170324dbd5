package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oxbowbridge/internal/testrig"
)

// put sends a write of a key to a node.
func (b *bench) put(c *testrig.Cluster, node int, key, value string) error {
	return b.request(http.MethodPut, "http://"+c.Peers[node].Admin+"/store/"+key, value)
}

// request sends an HTTP request. A response status of 300 or above is an error.
func (b *bench) request(method, url, body string) error {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	res, err := b.http.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode >= http.StatusMultipleChoices {
		err = fmt.Errorf("%s: %s", res.Status, text)
	}
	return err
}

// load runs operations in the given number of concurrent clients and returns how many operations per second
// completed. A client stops at its first error. If a client has failed, load returns its error.
func (b *bench) load(clients int, duration time.Duration, operate func(client, i int) error) (float64, error) {
	var completed atomic.Int64
	var running sync.WaitGroup
	failed := make(chan error, clients)
	started := time.Now()
	for client := range clients {
		running.Go(func() {
			for i := 0; time.Since(started) < duration; i++ {
				if err := operate(client, i); err != nil {
					failed <- err
					return
				}
				completed.Add(1)
			}
		})
	}
	running.Wait()
	elapsed := time.Since(started)
	select {
	case err := <-failed:
		return 0, err
	default:
		return float64(completed.Load()) / elapsed.Seconds(), nil
	}
}
