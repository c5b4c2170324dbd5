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

// classResult counts what became of the requests of one class.
type classResult struct {
	class            string
	sent             int
	served           int
	rejected         int
	rejectedWithHint int // with the time after which to come back
	failed           int
	latencies        []time.Duration // of those served
}

// trialResults has one result for each class. Its lock guards them.
type trialResults struct {
	mu      sync.Mutex
	classes []*classResult
}

// sendLoad sends requests at even intervals, whatever comes back, and waits for all
// responses. The classes are drawn with a fixed seed.
func (t *trial) sendLoad(ctx context.Context, cfg *config, address string) []*classResult {
	results := &trialResults{}
	for _, class := range cfg.Settings.Classes {
		results.classes = append(results.classes, &classResult{class: class.Name})
	}
	random := rand.New(rand.NewPCG(1, 2))
	begin := time.Now()
	var pending sync.WaitGroup
	for i := range t.requests {
		time.Sleep(time.Until(begin.Add(t.span * time.Duration(i) / time.Duration(t.requests))))
		class := results.classes[random.IntN(len(results.classes))]
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
			class.rejectedWithHint++
		}
	default:
		class.failed++
	}
}

// printResults prints a table with one line for each class.
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
			c.class, c.sent, c.served, c.rejected, c.rejectedWithHint, c.failed, median, slowest)
	}
	return table.Flush()
}
