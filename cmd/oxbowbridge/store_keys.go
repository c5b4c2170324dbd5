package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/storeclient"
	"oxbowbridge/internal/storage/atomicfile"
)

const maxTxnBytes = 1 << 20 // maximum size of a transaction on standard input

// readQuery returns the URL query for a read with the flags of "store get".
func (s *storeCLI) readQuery() string {
	switch {
	case s.local:
		return "?local=1"
	case s.maxStaleness != "":
		return "?stale=" + s.maxStaleness
	}
	return ""
}

// get prints the value of one key, or all keys.
func (s *storeCLI) get(c *cobra.Command, client *storeclient.Client, args []string) error {
	if len(args) == 0 {
		return s.getAll(c, client)
	}
	value, revision, err := client.Get(c.Context(), args[0], s.readQuery())
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), kv.Result{Key: args[0], Revision: revision, Value: value})
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "%s\n", value)
	return err
}

func (s *storeCLI) getAll(c *cobra.Command, client *storeclient.Client) error {
	values, _, err := client.List(c.Context(), s.readQuery())
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), values)
	}
	rows := [][]any{{"KEY", "VALUE"}}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		rows = append(rows, []any{key, string(values[key])})
	}
	return printTable(c.OutOrStdout(), rows...)
}

// expectedRevision returns --if-revision, or nil if the flag is not set.
func (s *storeCLI) expectedRevision(c *cobra.Command) *uint64 {
	if !c.Flags().Changed("if-revision") {
		return nil
	}
	return &s.ifRevision
}

func (s *storeCLI) put(c *cobra.Command, client *storeclient.Client, args []string) error {
	key, value := args[0], args[1]
	if !json.Valid([]byte(value)) {
		return usageError(fmt.Errorf("value %q is not valid JSON; a string needs quotes", value))
	}
	response, err := client.Put(c.Context(), key, json.RawMessage(value), s.expectedRevision(c))
	return s.printResponse(c, response, err)
}

func (s *storeCLI) delete(c *cobra.Command, client *storeclient.Client, args []string) error {
	response, err := client.Delete(c.Context(), args[0], s.expectedRevision(c))
	return s.printResponse(c, response, err)
}

// txn executes the transaction on standard input.
func (s *storeCLI) txn(c *cobra.Command, client *storeclient.Client, _ []string) error {
	decoder := json.NewDecoder(io.LimitReader(c.InOrStdin(), maxTxnBytes))
	decoder.DisallowUnknownFields()
	var request kv.Request
	if err := decoder.Decode(&request); err != nil {
		return usageError(fmt.Errorf("standard input: %w", err))
	}
	response, err := client.Txn(c.Context(), request)
	return s.printResponse(c, response, err)
}

// printResponse prints the response to a write, or returns err if it is not nil.
func (s *storeCLI) printResponse(c *cobra.Command, response kv.Response, err error) error {
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), response)
	}
	// The column HELD shows whether the compares of the transaction succeeded. It does not
	// concern leases.
	rows := [][]any{{"HELD", "REVISION", "KEY", "KEY REVISION", "VALUE"}}
	for _, r := range response.Results {
		rows = append(rows, []any{response.Succeeded, response.Revision, r.Key, r.Revision, string(r.Value)})
	}
	return printTable(c.OutOrStdout(), rows...)
}

// backup writes a backup to a new file.
func (s *storeCLI) backup(c *cobra.Command, client *storeclient.Client, args []string) error {
	header, text, err := client.Backup(c.Context())
	if err != nil {
		return err
	}
	if err := atomicfile.WriteNew(args[0], text); err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), header)
	}
	return printTable(c.OutOrStdout(), []any{"CLUSTER", "REVISION", "KEYS", "BYTES", "SHA256"},
		[]any{header.Cluster, header.Revision, header.Keys, header.Bytes, header.SHA256})
}

// restore restores a backup from a file. With --undo it empties a store in which a restore was
// interrupted.
func (s *storeCLI) restore(c *cobra.Command, client *storeclient.Client, args []string) error {
	if s.undoRestore != (len(args) == 0) {
		return usageError(errors.New("want either FILE or --undo"))
	}
	if s.undoRestore {
		return client.UndoRestore(c.Context())
	}
	file, err := os.Open(args[0])
	if err != nil {
		return err
	}
	defer file.Close()
	restored, err := client.Restore(c.Context(), file)
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), restored)
	}
	return printTable(c.OutOrStdout(), []any{"CLUSTER", "KEYS", "TAKEN FROM"}, []any{restored.Cluster, restored.Keys, restored.SourceCluster})
}
