// Oxbowbridge is the real service: one program on sockets, round the decision
// module in rules/. Without a sub-command it serves. It exits with 0 after a drain
// or a command that went well, 2 on a bad configuration or a bad call, 3 if a
// durable store's acknowledged data may be missing, and 1 on any other failure.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"
)

func main() {
	err := rootCommand().Execute()
	if err == nil {
		return
	}
	code := exitCodeFailure
	var exit *exitError
	switch {
	case errors.As(err, &exit):
		code = exit.code
	case errors.Is(err, errConfig):
		code = exitCodeUsage
	}
	printError(err)
	os.Exit(code)
}

// printMost is how long the last line may take to be written. A reader of standard error
// that stands still must not keep the process from ending.
const printMost = 100 * time.Millisecond

func printError(err error) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		fmt.Fprintln(os.Stderr, "oxbowbridge:", err)
	}()
	select {
	case <-written:
	case <-time.After(printMost):
	}
}

const (
	exitCodeFailure = 1
	exitCodeUsage   = 2
	exitCodeDamaged = 3
)

// exitError is a failure with an exit code of its own.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func rootCommand() *cobra.Command {
	root := &cobra.Command{Use: "oxbowbridge", Short: "Admission for nomination requests: runs, queues or turns away",
		Long: "Without a sub-command the service runs, with the configuration that BALANCER_CONFIG names.",
		Args: cobra.NoArgs, RunE: serveCommand, SilenceUsage: true, SilenceErrors: true}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &exitError{exitCodeUsage, err} })
	root.AddCommand(&cobra.Command{Use: "serve", Short: "Run the service (the default)", Args: noArgs, RunE: serveCommand},
		configCommand(), versionCommand(), tryCommand(), durableCommand(), storeCommand(), leaseCommand(), workCommand())
	root.Args = noArgs
	return root
}

// noArgs and oneArg are cobra's checks with the exit code of a bad call.
func noArgs(c *cobra.Command, args []string) error { return usageError(cobra.NoArgs(c, args)) }
func oneArg(c *cobra.Command, args []string) error { return usageError(cobra.ExactArgs(1)(c, args)) }

func usageError(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{exitCodeUsage, err}
}

func serveCommand(*cobra.Command, []string) error { return serve(os.Getenv) }

func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Work with configuration files"}
	c.AddCommand(&cobra.Command{Use: "check FILE", Short: "Say whether the service would start with a file", Args: oneArg,
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err == nil {
				_, err = parseConfig(text, func(string) string { return "" })
			}
			if err != nil {
				return fmt.Errorf("%w: %s: %w", errConfig, args[0], err)
			}
			fmt.Fprintln(c.OutOrStdout(), "ok")
			return nil
		}})
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Say which build this is", Args: noArgs, Run: func(c *cobra.Command, _ []string) {
		version, revision := "unknown", "unknown revision"
		if info, ok := debug.ReadBuildInfo(); ok {
			version = info.Main.Version
			for _, s := range info.Settings {
				if s.Key == "vcs.revision" {
					revision = s.Value
				}
			}
			version += ", " + info.GoVersion
		}
		fmt.Fprintf(c.OutOrStdout(), "oxbowbridge %s, %s\n", version, revision)
	}}
}
