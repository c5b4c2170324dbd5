package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"oxbowbridge/internal/standin"
)

//go:embed try.json
var tryConfig []byte

// The stand-ins that a trial runs with.
const (
	trialEngineCores  = 4
	trialRunWork      = 60 * time.Millisecond
	trialCallDuration = 20 * time.Millisecond
	trialCallingClass = "nom-submit" // whose runs make a call
)

// The bounds of a trial's flags.
const (
	maxTrialRequests = 5000
	maxTrialSpan     = time.Minute
)

var errTrialFlags = errors.New("want 1 to 5000 requests within a minute")

// trial is one run of the service with all that it needs around it.
type trial struct {
	requests int           // to send; default 400
	span     time.Duration // over which they are sent; default 3 s
}

func tryCommand() *cobra.Command {
	t := &trial{}
	c := &cobra.Command{
		Use:   "try",
		Short: "Run the service with a toy engine and a short load, and show the answers",
		Long: "Starts the service, a toy engine, a toy records service and a caller in this process, on free\n" +
			"loopback ports, sends a mixed load of more than the engine can do, and prints what came back.",
		Args:    noArgs,
		PreRunE: func(*cobra.Command, []string) error { return usageError(t.validate()) },
		RunE:    func(c *cobra.Command, _ []string) error { return t.run(c.Context(), c.OutOrStdout()) },
	}
	c.Flags().IntVar(&t.requests, "requests", 400, "how many requests to send")
	c.Flags().DurationVar(&t.span, "within", 3*time.Second, "over how long")
	return c
}

func (t *trial) validate() error {
	if t.requests < 1 || t.requests > maxTrialRequests || t.span < 0 || t.span > maxTrialSpan {
		return errTrialFlags
	}
	return nil
}

// run starts the service and its stand-ins, sends the load, drains, and prints the result.
func (t *trial) run(ctx context.Context, out io.Writer) error {
	cfg, err := parseConfig(tryConfig, emptyEnv)
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
	go (&standin.Engine{Cores: trialEngineCores, RunDuration: trialRunWork, CallingClasses: []string{trialCallingClass}}).Serve(engine)
	go (&standin.RecordsService{ResponseDelay: trialCallDuration}).Serve(records)
	cfg.EngineAddress = engine.Addr().String()
	cfg.RecordsAddress = records.Addr().String()
	s, err := newService(ctx, cfg, zap.NewNop())
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.dispatcher.Run()
	}()
	address := s.frontendAddrs[0].String()
	fmt.Fprintf(out, "service on %s, engine with %d cores and %v a request; %d requests within %v\n\n",
		address, trialEngineCores, trialRunWork, t.requests, t.span)
	results := t.sendLoad(ctx, cfg, address)
	s.drain(time.Now(), time.Duration(cfg.DrainTimeoutMS)*time.Millisecond)
	<-ended
	return printResults(out, results)
}
