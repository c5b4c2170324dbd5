package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Say which build this is",
		Args:  noArgs,
		Run: func(c *cobra.Command, _ []string) {
			version, revision := buildVersion()
			fmt.Fprintf(c.OutOrStdout(), "oxbowbridge %s, %s\n", version, revision)
		},
	}
}

// buildVersion returns the version of the module with that of Go, and the revision that was
// built.
func buildVersion() (version, revision string) {
	version, revision = "unknown", "unknown revision"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return version, revision
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	return info.Main.Version + ", " + info.GoVersion, revision
}
