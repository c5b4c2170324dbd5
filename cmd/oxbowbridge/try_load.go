package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"oxbowbridge/internal/standin"
)

// classResult counts the requests of one class by their outcome.
type classResult struct {
	class                  string
	sent                   int
	served                 int
	rejected               int
	rejectedWithRetryAfter int // rejected with a Retry-After time
	failed                 int
	latencies              []time.Duration // of the served requests
}

// trialResults has one result for each class. mu guards the results.
type trialResults struct {
	mu      sync.Mutex
	classes []*classResult
}

// sendLoad sends requests at even intervals, independent of the responses, and waits for all
// responses. It chooses the classes at random with a fixed seed.
func (t *trial) sendLoad(ctx context.Context, cfg *config, address string) []*classResult {
	results := &trialResults{}
	for _, class := range cfg.Settings.Classes {
		results.classes = append(results.classes, &classResult{class: class.Name})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	startedAt := time.Now()
	var pending sync.WaitGroup
	for i := range t.requests {
		time.Sleep(time.Until(startedAt.Add(t.duration * time.Duration(i) / time.Duration(t.requests))))
		class := results.classes[rng.IntN(len(results.classes))]
		pending.Go(func() { results.sendOne(ctx, address, class, i) })
	}
	pending.Wait()
	return results.classes
}

// sendOne sends one request and counts its response.
func (r *trialResults) sendOne(ctx context.Context, address string, class *classResult, number int) {
	sentAt := time.Now()
	response, err := standin.Call(ctx, address, standin.Request{Class: class.class, Body: fmt.Sprint("request ", number)})
	r.mu.Lock()
	defer r.mu.Unlock()
	class.sent++
	if err != nil {
		class.failed++
		return
	}
	switch response.Status {
	case http.StatusOK:
		class.served++
		class.latencies = append(class.latencies, time.Since(sentAt))
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		class.rejected++
		if response.RetryAfterMillis != "" {
			class.rejectedWithRetryAfter++
		}
	default:
		class.failed++
	}
}

// printResults prints a table with one row for each class.
func printResults(out io.Writer, classes []*classResult) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tsent\tserved\trefused\twith advice\tfailed\tmedian\tslowest\t")
	for _, c := range classes {
		median, slowest := "-", "-"
		if n := len(c.latencies); n > 0 {
			slices.Sort(c.latencies)
			median = c.latencies[n/2].Round(time.Millisecond).String()
			slowest = c.latencies[n-1].Round(time.Millisecond).String()
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n",
			c.class, c.sent, c.served, c.rejected, c.rejectedWithRetryAfter, c.failed, median, slowest)
	}
	return table.Flush()
}
