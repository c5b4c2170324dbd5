package main

import (
	"errors"
	"strings"

	"github.com/spf13/cobra"

	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/cluster/storeclient"
)

// storeCLI holds the flags of the subcommands of "store".
type storeCLI struct {
	nodes        []string
	asJSON       bool
	local        bool   // of get
	maxStaleness string // of get: a duration, such as 2s
	ifRevision   uint64 // of put and delete
	fromRevision uint64 // of watch: a revision
	listFirst    bool   // of watch
	undoRestore  bool   // of restore
}

// addCommand adds a subcommand that returns a usage error for invalid arguments.
type addCommand func(use, short string, args cobra.PositionalArgs, run func(*cobra.Command, []string) error) *cobra.Command

// adminClientCommand returns a command whose subcommands use the admin addresses of store nodes, and a
// function that adds a subcommand.
func adminClientCommand(use, short string, nodes *[]string, asJSON *bool) (*cobra.Command, addCommand) {
	c := &cobra.Command{Use: use, Short: short}
	c.PersistentFlags().StringSliceVar(nodes, "nodes", []string{"127.0.0.1:7201"}, "admin addresses of one or more store nodes")
	c.PersistentFlags().BoolVar(asJSON, "json", false, "print JSON instead of tables")
	add := func(use, short string, args cobra.PositionalArgs, run func(*cobra.Command, []string) error) *cobra.Command {
		checkArgs := func(c *cobra.Command, values []string) error { return usageError(args(c, values)) }
		sub := &cobra.Command{Use: use, Short: short, RunE: run, Args: checkArgs}
		c.AddCommand(sub)
		return sub
	}
	return c, add
}

// storeAction executes a subcommand of "store".
type storeAction func(c *cobra.Command, client *storeclient.Client, args []string) error

// addStoreCommand adds a subcommand that uses a store client.
type addStoreCommand func(use, short string, args cobra.PositionalArgs, run storeAction) *cobra.Command

func storeCommand() *cobra.Command {
	s := &storeCLI{}
	c, addPlain := adminClientCommand("store", "Read and write the replicated store", &s.nodes, &s.asJSON)
	add := func(use, short string, args cobra.PositionalArgs, run storeAction) *cobra.Command {
		return addPlain(use, short, args, func(c *cobra.Command, values []string) error {
			return run(c, storeclient.New(s.nodes), values)
		})
	}
	s.addMemberCommands(add)
	add("status", "Show the status of each node in --nodes", cobra.NoArgs, s.status)
	get := add("get [KEY]", "Print the value of a key, or all keys", cobra.MaximumNArgs(1), s.get)
	get.Flags().BoolVar(&s.local, "local", false, "read the local state of the node, which may be arbitrarily stale")
	get.Flags().StringVar(&s.maxStaleness, "stale", "", "allow a read that is stale by at most this duration, such as 2s")
	watchCommand := add("watch [PREFIX]", "Print changes of keys until interrupted, from any node that is available", cobra.MaximumNArgs(1), s.watch)
	watchCommand.Flags().Uint64Var(&s.fromRevision, "from", 0, "first revision to print; 0 starts with the next change")
	watchCommand.Flags().BoolVar(&s.listFirst, "list", false, "print the current keys first, then the changes after them")
	put := add("put KEY JSON", "Write a key; it is written only once, even if the request is retried", cobra.ExactArgs(2), s.put)
	del := add("delete KEY", "Delete a key", cobra.ExactArgs(1), s.delete)
	for _, sub := range []*cobra.Command{put, del} {
		sub.Flags().Uint64Var(&s.ifRevision, "if-revision", 0, "only if the key has this revision; 0 only if the key does not exist")
	}
	add("backup FILE", "Write a consistent backup of all keys, with a checksum, to a new file", cobra.ExactArgs(1), s.backup)
	restore := add("restore FILE", "Restore a backup to the empty store of another cluster", cobra.MaximumNArgs(1), s.restore)
	restore.Flags().BoolVar(&s.undoRestore, "undo", false, "without FILE: empty a store in which a restore was interrupted")
	add("txn", "Execute a transaction only once, even if the request is retried. It is read as JSON from standard input:\n"+
		`{"if": [{"key": K, "revision": N}], "then": [{"do": "put", "key": K, "value": V}], "else": []}`, cobra.NoArgs, s.txn)
	return c
}

// nodeStatus is the status of one node in the output of "store status".
type nodeStatus struct {
	Address string `json:"address"`
	storeapi.Status
	Error string `json:"away,omitempty"` // why the node did not answer
}

// problem returns the wait reason and the errors of a node.
func (n nodeStatus) problem() string {
	problem := n.Error + n.WaitingReason + n.SQLError
	if n.ForeignPeers != "" {
		problem = strings.TrimSpace(problem + " of another cluster: " + n.ForeignPeers)
	}
	return problem
}

// status prints the status of each node. It fails if no node answers.
func (s *storeCLI) status(c *cobra.Command, client *storeclient.Client, _ []string) error {
	var nodes []nodeStatus
	answered := 0
	for _, address := range s.nodes {
		status, err := client.Status(c.Context(), address)
		node := nodeStatus{Address: address, Status: status}
		if err != nil {
			node.Error = err.Error()
		} else {
			answered++
		}
		nodes = append(nodes, node)
	}
	err := s.printStatus(c, nodes)
	if answered == 0 {
		err = errors.Join(err, errors.New("no node in --nodes answered"))
	}
	return err
}

func (s *storeCLI) printStatus(c *cobra.Command, nodes []nodeStatus) error {
	if s.asJSON {
		return printJSON(c.OutOrStdout(), nodes)
	}
	rows := [][]any{{"ADDRESS", "NODE", "STATE", "LEADER", "APPLIED", "LAST", "CLUSTER", "WAITS FOR OR ERROR"}}
	for _, n := range nodes {
		rows = append(rows, []any{n.Address, n.Node, n.State, n.Leader, n.AppliedIndex, n.LastIndex, n.Cluster, n.problem()})
	}
	return printTable(c.OutOrStdout(), rows...)
}
