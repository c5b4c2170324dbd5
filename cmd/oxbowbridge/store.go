package main

import (
	"errors"
	"strings"

	"github.com/spf13/cobra"

	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/cluster/storeclient"
)

// storeCLI is the flags of the sub-commands of store.
type storeCLI struct {
	nodes      []string
	asJSON     bool
	local      bool   // of get
	stale      string // of get: a duration
	ifRevision uint64 // of put and delete
	from       uint64 // of watch: a revision
	list       bool   // of watch
	undo       bool   // of restore
}

// addCommand adds a sub-command whose bad arguments are a usage error.
type addCommand func(use, short string, args cobra.PositionalArgs, run func(*cobra.Command, []string) error) *cobra.Command

// nodesCommand returns a command whose sub-commands ask the admin ports of a store's nodes, and what adds
// one.
func nodesCommand(use, short string, nodes *[]string, asJSON *bool) (*cobra.Command, addCommand) {
	c := &cobra.Command{Use: use, Short: short}
	c.PersistentFlags().StringSliceVar(nodes, "nodes", []string{"127.0.0.1:7201"}, "admin addresses, any or all of them")
	c.PersistentFlags().BoolVar(asJSON, "json", false, "print JSON in place of tables")
	add := func(use, short string, args cobra.PositionalArgs, run func(*cobra.Command, []string) error) *cobra.Command {
		checkArgs := func(c *cobra.Command, values []string) error { return usageError(args(c, values)) }
		sub := &cobra.Command{Use: use, Short: short, RunE: run, Args: checkArgs}
		c.AddCommand(sub)
		return sub
	}
	return c, add
}

// storeRun carries out a sub-command of store.
type storeRun func(c *cobra.Command, client *storeclient.Client, args []string) error

// addStoreCommand is addCommand for a command that needs a client.
type addStoreCommand func(use, short string, args cobra.PositionalArgs, run storeRun) *cobra.Command

func storeCommand() *cobra.Command {
	s := &storeCLI{}
	c, addPlain := nodesCommand("store", "Read and write the replicated store, at any of its nodes", &s.nodes, &s.asJSON)
	add := func(use, short string, args cobra.PositionalArgs, run storeRun) *cobra.Command {
		return addPlain(use, short, args, func(c *cobra.Command, values []string) error {
			return run(c, storeclient.New(s.nodes), values)
		})
	}
	s.addMembers(add)
	add("status", "Show each node that --nodes names", cobra.NoArgs, s.status)
	get := add("get [KEY]", "Print a key, or all", cobra.MaximumNArgs(1), s.get)
	get.Flags().BoolVar(&s.local, "local", false, "what the node knows, however old")
	get.Flags().StringVar(&s.stale, "stale", "", "a read that may be so old, such as 2s")
	watchCommand := add("watch [PREFIX]", "Print what changes, at whichever node is there, until interrupted", cobra.MaximumNArgs(1), s.watch)
	watchCommand.Flags().Uint64Var(&s.from, "from", 0, "from this revision on; 0 is from now")
	watchCommand.Flags().BoolVar(&s.list, "list", false, "print the keys first, and follow from there")
	put := add("put KEY JSON", "Write a key, once", cobra.ExactArgs(2), s.put)
	del := add("delete KEY", "Remove a key", cobra.ExactArgs(1), s.delete)
	for _, sub := range []*cobra.Command{put, del} {
		sub.Flags().Uint64Var(&s.ifRevision, "if-revision", 0, "only if the key has this revision; 0 if it is not there")
	}
	add("backup FILE", "Write a checked backup of all keys, as they were at one moment, to a new file", cobra.ExactArgs(1), s.backup)
	restore := add("restore FILE", "Put a backup back into an empty store of another cluster", cobra.MaximumNArgs(1), s.restore)
	restore.Flags().BoolVar(&s.undo, "undo", false, "without FILE: empty a store in which a restore was cut off")
	add("txn", "Carry out a transaction, once, given as JSON on standard input:\n"+
		`{"if": [{"key": K, "revision": N}], "then": [{"do": "put", "key": K, "value": V}], "else": []}`, cobra.NoArgs, s.txn)
	return c
}

// nodeStatus is one node of "store status".
type nodeStatus struct {
	Address string `json:"address"`
	storeapi.Status
	Error string `json:"away,omitempty"` // why the node did not answer
}

// problem returns all that is wrong with a node.
func (n nodeStatus) problem() string {
	problem := n.Error + n.WaitingReason + n.SQLError
	if n.ForeignPeers != "" {
		problem = strings.TrimSpace(problem + " of another cluster: " + n.ForeignPeers)
	}
	return problem
}

// status prints the status of each node. It fails if none answers.
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
		err = errors.Join(err, errors.New("no node answered"))
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
