package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this build",
		Args:  noArgs,
		Run: func(c *cobra.Command, _ []string) {
			version, revision := buildVersion()
			fmt.Fprintf(c.OutOrStdout(), "oxbowbridge %s, %s\n", version, revision)
		},
	}
}

// buildVersion returns the module version together with the Go version, and the source revision
// of the build.
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
