package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/cluster/storeclient"
)

// members prints the members of the cluster, as reported by the leader.
func (s *storeCLI) members(c *cobra.Command, client *storeclient.Client, _ []string) error {
	members, err := client.Members(c.Context())
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), members)
	}
	rows := [][]any{{"NAME", "ID", "ZONE", "ROLE", "BEHIND", "STATE", "ADMIN", "NEXT", "WHY"}}
	for _, m := range members.Members {
		rows = append(rows, []any{m.Name, m.ID, m.Zone, m.Role, m.EntriesBehind, m.State, m.AdminAddress, m.NextStep, m.NextStepReason})
	}
	for _, name := range members.Removed {
		rows = append(rows, []any{name, "", "", "", "", "removed", "", "", "'store add " + name + "' lets it in again"})
	}
	return printTable(c.OutOrStdout(), rows...)
}

// memberChangeAction returns the action of "store add", "store remove" or "store promote". On success the
// action prints the name of the node and outcome.
func memberChangeAction(method, outcome string) storeAction {
	return func(c *cobra.Command, client *storeclient.Client, args []string) error {
		if err := client.ChangeMember(c.Context(), method, args[0]); err != nil {
			return err
		}
		_, err := fmt.Fprintf(c.ErrOrStderr(), "%s %s; 'store members' shows the progress\n", args[0], outcome)
		return err
	}
}

// addMemberCommands adds the subcommands for members.
func (s *storeCLI) addMemberCommands(add addStoreCommand) {
	add("members", "Show the members, their disk identities, and the next membership change", cobra.NoArgs, s.members)
	add("add NAME", "Allow a removed node to join again", cobra.ExactArgs(1), memberChangeAction(http.MethodPut, "may join"))
	add("remove NAME", "Remove a node, and do not allow it to join again", cobra.ExactArgs(1), memberChangeAction(http.MethodDelete, "will be removed"))
	add("promote NAME", "Prefer a node as voter over other nodes", cobra.ExactArgs(1), memberChangeAction(http.MethodPost, "is preferred as voter"))
	var cluster string
	recoverCommand := add("recover CONFIG",
		"Show the data of a stopped node; with --cluster, make it a single-node cluster if the others are lost for good",
		cobra.ExactArgs(1), func(c *cobra.Command, _ *storeclient.Client, args []string) error {
			return s.recover(c, args[0], cluster)
		})
	recoverCommand.Flags().StringVar(&cluster, "cluster", "", "id of the old cluster, as confirmation")
}

// recover shows the data of a stopped node. If cluster is the id of its cluster, it first makes the node a
// single-node cluster.
func (s *storeCLI) recover(c *cobra.Command, configPath, cluster string) error {
	cfg, err := readConfig(func(name string) string {
		if name == "BALANCER_CONFIG" {
			return configPath
		}
		return ""
	})
	if err != nil {
		return usageError(err)
	}
	if cfg.Store == nil {
		return usageError(fmt.Errorf("configuration file %s has no field \"store\"", configPath))
	}
	report, err := store.Inspect(*cfg.Store)
	if err == nil && cluster != "" {
		report, err = store.Recover(*cfg.Store, cluster)
	}
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), report)
	}
	return printTable(c.OutOrStdout(), recoveryRows(report)...)
}

// recoveryRows returns the table that describes the data of a stopped node.
func recoveryRows(report store.RecoveryReport) [][]any {
	rows := [][]any{
		{"NODE", report.Node},
		{"ID", report.ID},
		{"CLUSTER", report.Cluster},
		{"KEYS", report.Keys},
		{"LAST ENTRY", formatLastEntry(report.Watermark)},
		{"TERM", report.Watermark.Term},
		{"VOTERS", strings.Join(report.Voters, " ")},
	}
	for _, id := range slices.Sorted(maps.Keys(report.LastObserved)) {
		rows = append(rows, []any{"SEEN OF " + id, formatLastEntry(report.LastObserved[id])})
	}
	for _, missing := range report.Missing {
		rows = append(rows, []any{"MISSING", missing})
	}
	rows = append(rows, []any{"MAY BE MISSING", "whatever the others acknowledged after this node last heard of them"})
	if report.NewCluster != "" {
		return append(rows, []any{"NEW CLUSTER", report.NewCluster})
	}
	return append(rows, []any{"TO GO ON", "only if a majority of the voters is lost for good: --cluster " + report.Cluster})
}

func formatLastEntry(watermark diskidentity.Watermark) string {
	return fmt.Sprintf("%d of term %d", watermark.LastIndex, watermark.LastTerm)
}
