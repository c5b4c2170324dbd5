package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/standin"
)

//go:embed try.json
var tryConfig []byte

func tryCommand() *cobra.Command {
	t := &trial{}
	c := &cobra.Command{Use: "try", Short: "Run the service with a toy engine and a short load, and show the answers",
		Long: "Starts the service, a toy engine, a toy records service and a caller in this process, on free\n" +
			"loopback ports, sends a mixed load of more than the engine can do, and prints what came back.",
		Args: noArgs, RunE: func(c *cobra.Command, _ []string) error { return t.run(c.Context(), c.OutOrStdout()) }}
	c.Flags().IntVar(&t.requests, "requests", 400, "how many requests to send")
	c.Flags().DurationVar(&t.within, "within", 3*time.Second, "over how long")
	c.PreRunE = func(*cobra.Command, []string) error {
		if t.requests < 1 || t.requests > 5000 || t.within < 0 || t.within > time.Minute {
			return usageError(fmt.Errorf("want 1 to 5000 requests within a minute"))
		}
		return nil
	}
	return c
}

// trial is one run of the service with all that it needs round it.
type trial struct {
	requests int
	within   time.Duration
}

const (
	tryCores = 4
	tryWork  = 60 * time.Millisecond
	tryCall  = 20 * time.Millisecond
)

func (t *trial) run(ctx context.Context, out io.Writer) error {
	cfg, err := parseConfig(tryConfig, func(string) string { return "" })
	if err != nil {
		return fmt.Errorf("built-in configuration: %w", err)
	}
	engine, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer engine.Close()
	records, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer records.Close()
	go (&standin.Engine{Cores: tryCores, Work: tryWork, Calls: []string{"nom-submit"}}).Serve(engine)
	go (&standin.Records{Work: tryCall}).Serve(records)
	cfg.EngineAddress, cfg.RecordsAddress = engine.Addr().String(), records.Addr().String()
	s, err := newService(ctx, cfg, zap.NewNop())
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.dispatcher.Run()
	}()
	addr := s.frontendAddrs[0].String()
	fmt.Fprintf(out, "service on %s, engine with %d cores and %v a request; %d requests within %v\n\n",
		addr, tryCores, tryWork, t.requests, t.within)
	tallies := t.load(ctx, cfg, addr)
	s.exchange.Post(exchange.Callback(func() { s.dispatcher.Drain(0, time.Duration(cfg.DrainTimeoutMS)*time.Millisecond) }))
	<-ended
	return print(out, tallies)
}

// tally is what became of the requests of one class.
type tally struct {
	class                                 string
	sent, served, refused, advice, failed int
	took                                  []time.Duration // of those served
}

// load sends requests at even times, whatever comes back.
func (t *trial) load(ctx context.Context, cfg *config, addr string) []*tally {
	var tallies []*tally
	for _, k := range cfg.Settings.Classes {
		tallies = append(tallies, &tally{class: k.Name})
	}
	pick := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range t.requests {
		time.Sleep(time.Until(begin.Add(t.within * time.Duration(i) / time.Duration(t.requests))))
		k := tallies[pick.IntN(len(tallies))]
		wg.Add(1)
		go func() {
			defer wg.Done()
			sent := time.Now()
			a, err := standin.Call(ctx, addr, standin.Request{Class: k.class, Body: fmt.Sprint("request ", i)})
			mu.Lock()
			defer mu.Unlock()
			k.sent++
			switch {
			case err == nil && a.Status == 200:
				k.served++
				k.took = append(k.took, time.Since(sent))
			case err == nil && (a.Status == 503 || a.Status == 429):
				k.refused++
				if a.HoldOff != "" {
					k.advice++
				}
			default:
				k.failed++
			}
		}()
	}
	wg.Wait()
	return tallies
}

func print(out io.Writer, tallies []*tally) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tsent\tserved\trefused\twith advice\tfailed\tmedian\tslowest\t")
	for _, k := range tallies {
		median, slowest := "-", "-"
		if n := len(k.took); n > 0 {
			slices.Sort(k.took)
			median, slowest = k.took[n/2].Round(time.Millisecond).String(), k.took[n-1].Round(time.Millisecond).String()
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", k.class, k.sent, k.served, k.refused, k.advice, k.failed, median, slowest)
	}
	return w.Flush()
}
