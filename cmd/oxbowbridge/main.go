// Oxbowbridge admits, queues or rejects requests in front of one engine. Without a
// sub-command it serves, with the configuration file that BALANCER_CONFIG names.
//
// Exit codes: 0 after a drain or a command that succeeded, 2 on a bad configuration or bad
// arguments, 3 if acknowledged data of a durable store may be missing, and 1 on any other
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
		Short:         "Admission for nomination requests: runs, queues or turns away",
		Long:          "Without a sub-command the service runs, with the configuration that BALANCER_CONFIG names.",
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
	c := &cobra.Command{Use: "config", Short: "Work with configuration files"}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Say whether the service would start with a file",
		Args:  oneArg,
		RunE:  checkConfigFile,
	})
	return c
}

// checkConfigFile leaves out what the environment overrides.
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
