package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/vfs"
)

// durableCommand returns the commands that work on the folder of a durable store. They
// take the folder's lock, so they fail while a service has it open.
func durableCommand() *cobra.Command {
	c := &cobra.Command{Use: "durable", Short: "Work on the folder of a durable store that no service has open"}
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
	load := add("load", "Put lines of KEY TAB VALUE from standard input, and print each key that is on disk",
		func(c *cobra.Command, dir string) error {
			return loadFolder(dir, c.InOrStdin(), c.OutOrStdout(), asHex)
		})
	dump := add("dump", "Print what the folder holds, or would recover to, without changing it",
		func(c *cobra.Command, dir string) error { return dumpFolder(dir, c.OutOrStdout(), asHex) })
	for _, sub := range []*cobra.Command{load, dump} {
		sub.Flags().BoolVar(&asHex, "hex", false, "keys and values as hex digits, so that any bytes fit on a line")
	}
	add("verify", "Read every byte that counts, and print a report", verifyFolder)
	add("stat", "Print the figures of a folder", statFolder)
	add("compact", "Give back all space that can be", compactFolder)
	add("repair", "Make a damaged folder one that opens, and print what was lost", repairFolder)
	return c
}

func verifyFolder(c *cobra.Command, dir string) error {
	return withView(dir, func(view *durable.View, fs vfs.FS) error {
		if err := view.Verify(fs); err != nil {
			return err
		}
		return errors.Join(printJSON(c.OutOrStdout(), view.Report), damageError(view.Report))
	})
}

func statFolder(c *cobra.Command, dir string) error {
	return withView(dir, func(view *durable.View, _ vfs.FS) error {
		return errors.Join(printJSON(c.OutOrStdout(), view.Stats()), damageError(view.Report))
	})
}

func compactFolder(c *cobra.Command, dir string) error {
	if err := folderExists(dir); err != nil {
		return err
	}
	store, err := openStore(dir)
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

func repairFolder(c *cobra.Command, dir string) error {
	if err := folderExists(dir); err != nil {
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

// folderExists keeps a command from making a folder that is missing.
func folderExists(dir string) error {
	_, err := vfs.OpenDirReadOnly(dir)
	return err
}

// damageError is the error of a folder that may miss what was acknowledged, or nil.
func damageError(r *durable.Report) error {
	if r.Loss != durable.AcknowledgedLoss {
		return nil
	}
	return &exitError{exitCodeDamaged, &durable.DamagedError{Report: r}}
}

// withView reads a folder that nobody else may have open, and changes nothing in it.
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

// openStore opens a folder, or makes one. A torn tail is truncated, with a notice.
func openStore(dir string) (*durable.Store, error) {
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
		fmt.Fprintf(os.Stderr, "oxbowbridge: %d bytes of a tail that was never synced were cut off\n", report.TruncatedBytes)
	}
	return store, nil
}
