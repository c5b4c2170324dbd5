package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/cluster/storeclient"
)

// members prints the members, as the leader sees them.
func (s *storeCLI) members(c *cobra.Command, client *storeclient.Client, _ []string) error {
	m, err := client.Members(c.Context())
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), m)
	}
	rows := [][]any{{"NAME", "ID", "ZONE", "ROLE", "BEHIND", "STATE", "ADMIN", "NEXT", "WHY"}}
	for _, x := range m.Members {
		rows = append(rows, []any{x.Name, x.ID, x.Zone, x.Role, x.EntriesBehind, x.State, x.AdminAddress, x.NextStep, x.Reason})
	}
	for _, name := range m.Removed {
		rows = append(rows, []any{name, "", "", "", "", "removed", "", "", "'store add " + name + "' lets it in again"})
	}
	return table(c.OutOrStdout(), rows...)
}

// changeMember is add, remove or promote.
func changeMember(method, done string) func(*cobra.Command, *storeclient.Client, []string) error {
	return func(c *cobra.Command, client *storeclient.Client, args []string) error {
		if err := client.ChangeMember(c.Context(), method, args[0]); err != nil {
			return err
		}
		_, err := fmt.Fprintf(c.ErrOrStderr(), "%s %s; 'store members' shows how far it is\n", args[0], done)
		return err
	}
}

func (s *storeCLI) addMembers(add func(string, string, cobra.PositionalArgs, func(*cobra.Command, *storeclient.Client, []string) error) *cobra.Command) {
	add("members", "Show the members, their disks, and the next change", cobra.NoArgs, s.members)
	add("add NAME", "Let a node that was removed ask for a place again", cobra.ExactArgs(1), changeMember(http.MethodPut, "may join"))
	add("remove NAME", "Take a node's vote and its place, and don't let it in again", cobra.ExactArgs(1), changeMember(http.MethodDelete, "is to leave"))
	add("promote NAME", "Have a node have a vote rather than one that nobody asked for", cobra.ExactArgs(1), changeMember(http.MethodPost, "is to have a vote"))
	var cluster string
	rec := add("recover CONFIG", "Of a stopped node, with the others lost for good: show what it has, and with --cluster make a cluster of one of it",
		cobra.ExactArgs(1), func(c *cobra.Command, _ *storeclient.Client, args []string) error {
			return s.recover(c, args[0], cluster)
		})
	rec.Flags().StringVar(&cluster, "cluster", "", "the old cluster's id, as confirmation")
}

// recover shows what a stopped node has, and makes a cluster of it if that is confirmed.
func (s *storeCLI) recover(c *cobra.Command, path, cluster string) error {
	cfg, err := readConfig(func(name string) string {
		if name == "BALANCER_CONFIG" {
			return path
		}
		return ""
	})
	if err != nil {
		return usageError(err)
	}
	if cfg.Store == nil {
		return usageError(fmt.Errorf("%s has no store", path))
	}
	left, err := store.Inspect(*cfg.Store)
	if err != nil {
		return err
	}
	if cluster != "" {
		if left, err = store.Recover(*cfg.Store, cluster); err != nil {
			return err
		}
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), left)
	}
	rows := [][]any{{"NODE", left.Node}, {"ID", left.ID}, {"CLUSTER", left.Cluster}, {"KEYS", left.Keys},
		{"LAST ENTRY", fmt.Sprintf("%d of term %d", left.Watermark.LastIndex, left.Watermark.LastTerm)}, {"TERM", left.Watermark.Term},
		{"VOTERS", strings.Join(left.Voters, " ")}}
	for _, id := range slices.Sorted(maps.Keys(left.LastObserved)) {
		m := left.LastObserved[id]
		rows = append(rows, []any{"SEEN OF " + id, fmt.Sprintf("%d of term %d", m.LastIndex, m.LastTerm)})
	}
	for _, what := range left.Missing {
		rows = append(rows, []any{"MISSING", what})
	}
	rows = append(rows, []any{"MAY BE MISSING", "whatever the others acknowledged after this node last heard of them"})
	if left.NewCluster != "" {
		rows = append(rows, []any{"NEW CLUSTER", left.NewCluster})
	} else {
		rows = append(rows, []any{"TO GO ON", "only if a majority of the voters is lost for good: --cluster " + left.Cluster})
	}
	return table(c.OutOrStdout(), rows...)
}
