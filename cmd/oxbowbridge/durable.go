package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/vfs"
)

// durableCommand returns the commands that work on the directory of a durable store. They
// take the lock of the directory, so they fail while a service has it open.
func durableCommand() *cobra.Command {
	c := &cobra.Command{Use: "durable", Short: "Inspect and modify the directory of a durable store that no service has open"}
	add := func(use, short string, run func(c *cobra.Command, dir string) error) *cobra.Command {
		sub := &cobra.Command{
			Use:   use + " DIR",
			Short: short,
			Args:  oneArg,
			RunE:  func(c *cobra.Command, args []string) error { return run(c, args[0]) },
		}
		c.AddCommand(sub)
		return sub
	}
	asHex := false
	load := add("load", "Write lines of KEY TAB VALUE from standard input, and print each key once it is on disk",
		func(c *cobra.Command, dir string) error {
			return loadDirectory(dir, c.InOrStdin(), c.OutOrStdout(), asHex)
		})
	dump := add("dump", "Print the contents that opening the directory would recover, without changing it",
		func(c *cobra.Command, dir string) error { return dumpDirectory(dir, c.OutOrStdout(), asHex) })
	for _, sub := range []*cobra.Command{load, dump} {
		sub.Flags().BoolVar(&asHex, "hex", false, "encode keys and values as hex digits, to allow any bytes on a line")
	}
	add("verify", "Read and verify all data in use, and print a report", verifyDirectory)
	add("stat", "Print statistics of a directory", statDirectory)
	add("compact", "Reclaim all unused space", compactDirectory)
	add("repair", "Make a damaged directory usable again, and print what was lost", repairDirectory)
	return c
}

func verifyDirectory(c *cobra.Command, dir string) error {
	return withView(dir, func(view *durable.View, fs vfs.FS) error {
		if err := view.Verify(fs); err != nil {
			return err
		}
		return errors.Join(printJSON(c.OutOrStdout(), view.Report), damageError(view.Report))
	})
}

func statDirectory(c *cobra.Command, dir string) error {
	return withView(dir, func(view *durable.View, _ vfs.FS) error {
		return errors.Join(printJSON(c.OutOrStdout(), view.Stats()), damageError(view.Report))
	})
}

func compactDirectory(c *cobra.Command, dir string) error {
	if err := checkDirectoryExists(dir); err != nil {
		return err
	}
	store, err := openDurableStore(dir)
	if err != nil {
		return err
	}
	before := store.Stats().UsedBytes
	err = store.Compact(c.Context())
	after := store.Stats()
	if err = errors.Join(err, store.Close()); err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "%d bytes before, %d now, %d of them live\n", before, after.UsedBytes, after.LiveBytes)
	return nil
}

func repairDirectory(c *cobra.Command, dir string) error {
	if err := checkDirectoryExists(dir); err != nil {
		return err
	}
	fs, err := vfs.OpenDir(dir)
	if err != nil {
		return err
	}
	report, err := durable.Repair(fs, durable.Options{})
	if report != nil {
		err = errors.Join(printJSON(c.OutOrStdout(), report), err)
	}
	if errors.Is(err, durable.ErrUnrecoverable) {
		return &exitError{exitCodeDamaged, err}
	}
	return err
}

// checkDirectoryExists returns an error if the directory is missing, so that a command does not
// create it.
func checkDirectoryExists(dir string) error {
	_, err := vfs.OpenDirReadOnly(dir)
	return err
}

// damageError returns an error if acknowledged data may be missing, or nil.
func damageError(r *durable.Report) error {
	if r.Loss != durable.AcknowledgedLoss {
		return nil
	}
	return &exitError{exitCodeDamaged, &durable.DamagedError{Report: r}}
}

// withView locks a directory and calls use with a read-only view of its store.
func withView(dir string, use func(*durable.View, vfs.FS) error) error {
	fs, err := vfs.OpenDirReadOnly(dir)
	if err != nil {
		return err
	}
	lock, err := fs.Lock(durable.LockName)
	if err != nil {
		return err
	}
	defer lock.Close()
	view, err := durable.Inspect(fs, durable.Options{})
	if err != nil {
		return err
	}
	defer view.Close()
	return use(view, fs)
}

// openDurableStore opens a directory, or creates one. It truncates a torn tail and prints a
// message about that.
func openDurableStore(dir string) (*durable.Store, error) {
	fs, err := vfs.OpenDir(dir)
	if err != nil {
		return nil, err
	}
	store, report, err := durable.Open(fs, durable.Options{})
	if errors.Is(err, durable.ErrDamaged) {
		return nil, &exitError{exitCodeDamaged, err}
	}
	if err != nil {
		return nil, err
	}
	if report.Loss == durable.TailLoss {
		fmt.Fprintf(os.Stderr, "oxbowbridge: truncated %d bytes of a log tail that was never synced\n", report.TruncatedBytes)
	}
	return store, nil
}
