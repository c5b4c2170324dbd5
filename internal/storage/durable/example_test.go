package durable_test

import (
	"fmt"
	"log"
	"os"

	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/stream"
	"oxbowbridge/internal/storage/durable/vfs"
)

func Example() {
	dir, err := os.MkdirTemp("", "durable")
	if err != nil {
		log.Fatal(err)
	}
	defer os.RemoveAll(dir)
	fs, err := vfs.OpenDir(dir)
	if err != nil {
		log.Fatal(err)
	}
	store, report, err := durable.Open(fs, durable.Options{})
	if err != nil {
		log.Fatal(err) // for a *durable.DamagedError the operator decides whether to run Repair
	}
	fmt.Println("missing:", report.Loss)

	var b durable.Batch // its operations are applied atomically
	b.Put([]byte("volume/kamloops"), []byte("200 GJ"), 0)
	b.Put([]byte("lease/kamloops"), []byte("desk-1"), 1_700_000_060) // with an expiry
	if _, err := store.Apply(&b, durable.Synced); err != nil {
		log.Fatal(err)
	}
	snapshot, err := store.Snapshot()
	if err != nil {
		log.Fatal(err)
	}
	store.Delete([]byte("volume/kamloops"))
	snapshot.Scan(nil, nil, 1_700_000_060, func(i durable.Item) bool {
		v, _ := i.Value()
		fmt.Printf("%s = %s\n", i.Key, v)
		return true
	})
	snapshot.Close()

	logs, err := stream.Open(store, "raft/")
	if err != nil {
		log.Fatal(err)
	}
	logs.Append(1, [][]byte{[]byte("one"), []byte("two"), []byte("three")}, durable.Synced)
	logs.TruncateFront(2, durable.Buffered)
	fmt.Println(logs.Bounds())
	store.Close()
	// Output:
	// missing: none
	// volume/kamloops = 200 GJ
	// 2 3
}
