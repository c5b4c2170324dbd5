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

// members prints the members, as the leader sees them.
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

// changeMember returns the command add, remove or promote; outcome is what it prints of the member.
func changeMember(method, outcome string) storeRun {
	return func(c *cobra.Command, client *storeclient.Client, args []string) error {
		if err := client.ChangeMember(c.Context(), method, args[0]); err != nil {
			return err
		}
		_, err := fmt.Fprintf(c.ErrOrStderr(), "%s %s; 'store members' shows how far it is\n", args[0], outcome)
		return err
	}
}

// addMembers adds the sub-commands about members.
func (s *storeCLI) addMembers(add addStoreCommand) {
	add("members", "Show the members, their disks, and the next change", cobra.NoArgs, s.members)
	add("add NAME", "Let a node that was removed ask for a place again", cobra.ExactArgs(1), changeMember(http.MethodPut, "may join"))
	add("remove NAME", "Take a node's vote and its place, and don't let it in again", cobra.ExactArgs(1), changeMember(http.MethodDelete, "is to leave"))
	add("promote NAME", "Have a node have a vote rather than one that nobody asked for", cobra.ExactArgs(1), changeMember(http.MethodPost, "is to have a vote"))
	var cluster string
	recoverCommand := add("recover CONFIG",
		"Of a stopped node, with the others lost for good: show what it has, and with --cluster make a cluster of one of it",
		cobra.ExactArgs(1), func(c *cobra.Command, _ *storeclient.Client, args []string) error {
			return s.recover(c, args[0], cluster)
		})
	recoverCommand.Flags().StringVar(&cluster, "cluster", "", "the old cluster's id, as confirmation")
}

// recover shows what a stopped node has, and makes a cluster of one of it if cluster confirms that.
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
		return usageError(fmt.Errorf("%s has no store", configPath))
	}
	found, err := store.Inspect(*cfg.Store)
	if err == nil && cluster != "" {
		found, err = store.Recover(*cfg.Store, cluster)
	}
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), found)
	}
	return printTable(c.OutOrStdout(), recoveryRows(found)...)
}

// recoveryRows describes what a stopped node has.
func recoveryRows(found store.RecoveryReport) [][]any {
	rows := [][]any{
		{"NODE", found.Node},
		{"ID", found.ID},
		{"CLUSTER", found.Cluster},
		{"KEYS", found.Keys},
		{"LAST ENTRY", lastEntry(found.Watermark)},
		{"TERM", found.Watermark.Term},
		{"VOTERS", strings.Join(found.Voters, " ")},
	}
	for _, id := range slices.Sorted(maps.Keys(found.LastObserved)) {
		rows = append(rows, []any{"SEEN OF " + id, lastEntry(found.LastObserved[id])})
	}
	for _, missing := range found.Missing {
		rows = append(rows, []any{"MISSING", missing})
	}
	rows = append(rows, []any{"MAY BE MISSING", "whatever the others acknowledged after this node last heard of them"})
	if found.NewCluster != "" {
		return append(rows, []any{"NEW CLUSTER", found.NewCluster})
	}
	return append(rows, []any{"TO GO ON", "only if a majority of the voters is lost for good: --cluster " + found.Cluster})
}

func lastEntry(mark diskidentity.Watermark) string {
	return fmt.Sprintf("%d of term %d", mark.LastIndex, mark.LastTerm)
}
