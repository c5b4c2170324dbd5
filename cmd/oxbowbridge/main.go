// Oxbowbridge admits, queues or rejects requests in front of an engine or AJP upstreams.
// Without a subcommand it runs the service with the configuration file that BALANCER_CONFIG
// names.
//
// Exit codes: 0 after a drain or a successful command, 2 if the configuration or the arguments
// are invalid, 3 if acknowledged data of a durable store may be missing, and 1 on any other
// failure.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	err := rootCommand().Execute()
	if err == nil {
		return
	}
	printError(err)
	os.Exit(exitCodeOf(err))
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "oxbowbridge",
		Short:         "Admission control for nomination requests: run, queue or reject",
		Long:          "Without a subcommand, runs the service with the configuration file that BALANCER_CONFIG names.",
		Args:          noArgs,
		RunE:          serveCommand,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Run the service (the default)", Args: noArgs, RunE: serveCommand},
		configCommand(), versionCommand(), tryCommand(), durableCommand(), storeCommand(), leaseCommand(), workCommand())
	return root
}

func serveCommand(*cobra.Command, []string) error { return serve(os.Getenv) }

func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check configuration files"}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check whether a configuration file is valid",
		Args:  oneArg,
		RunE:  checkConfigFile,
	})
	return c
}

// checkConfigFile validates a configuration file without the overrides of the environment.
func checkConfigFile(c *cobra.Command, args []string) error {
	path := args[0]
	text, err := os.ReadFile(path)
	if err == nil {
		_, err = parseConfig(text, emptyEnv)
	}
	if err != nil {
		return fmt.Errorf("%w: %s: %w", errConfig, path, err)
	}
	fmt.Fprintln(c.OutOrStdout(), "ok")
	return nil
}

func emptyEnv(string) string { return "" }
