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

// Parameters of the stand-ins of a trial.
const (
	trialEngineCores  = 4
	trialRunDuration  = 60 * time.Millisecond
	trialCallDuration = 20 * time.Millisecond
	trialCallingClass = "nom-submit" // runs of this class make a call
)

// Limits of the flags of "try".
const (
	maxTrialRequests = 5000
	maxTrialDuration = time.Minute
)

var errTrialFlags = errors.New("want --requests from 1 to 5000 and --within from 0 to 1m")

// trial runs the service with stand-ins for the engine, the records service and the callers.
type trial struct {
	requests int           // number of requests to send, by default 400
	duration time.Duration // time over which the requests are sent, by default 3 s
}

func tryCommand() *cobra.Command {
	t := &trial{}
	c := &cobra.Command{
		Use:   "try",
		Short: "Run the service with a stand-in engine and a short load, and show the responses",
		Long: "Starts the service, a stand-in engine, a stand-in records service and a caller in this process, on\n" +
			"free loopback ports, sends a mixed load above the capacity of the engine, and prints the results.",
		Args:    noArgs,
		PreRunE: func(*cobra.Command, []string) error { return usageError(t.validate()) },
		RunE:    func(c *cobra.Command, _ []string) error { return t.run(c.Context(), c.OutOrStdout()) },
	}
	c.Flags().IntVar(&t.requests, "requests", 400, "number of requests to send")
	c.Flags().DurationVar(&t.duration, "within", 3*time.Second, "time over which the requests are sent")
	return c
}

func (t *trial) validate() error {
	if t.requests < 1 || t.requests > maxTrialRequests || t.duration < 0 || t.duration > maxTrialDuration {
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
	go (&standin.Engine{Cores: trialEngineCores, RunDuration: trialRunDuration, CallingClasses: []string{trialCallingClass}}).Serve(engine)
	go (&standin.RecordsService{ReplyDelay: trialCallDuration}).Serve(records)
	cfg.EngineAddress = engine.Addr().String()
	cfg.RecordsAddress = records.Addr().String()
	s, err := newService(ctx, cfg, zap.NewNop())
	if err != nil {
		return err
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.dispatcher.Run()
	}()
	address := s.frontendAddrs[0].String()
	fmt.Fprintf(out, "service on %s, engine with %d cores and %v a request; %d requests within %v\n\n",
		address, trialEngineCores, trialRunDuration, t.requests, t.duration)
	results := t.sendLoad(ctx, cfg, address)
	s.drain(time.Now(), time.Duration(cfg.DrainTimeoutMS)*time.Millisecond)
	<-drained
	return printResults(out, results)
}
