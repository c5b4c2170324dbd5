// Store measures the replicated store of one or more builds of oxbowbridge. In each round, it measures each
// build once, with a cluster of three daemons on loopback ports:
//
//	go run ./bench/store -bin now=bin/oxbowbridge -bin before=/tmp/before/oxbowbridge
//
// It prints a Markdown table with the acknowledged writes per second, the reads per second at a follower, and
// the time from the loss of the leader to the next acknowledged write. With -behind, it also measures how a
// node catches up after it has missed writes and how a node with a lost disk is replaced. This requires a
// build that reports the cluster's members.
package main

import (
	"errors"
	"flag"
	"fmt"
	"log"
	"net/http"
	"os"
	"strings"
	"time"
)

// build is an executable to measure.
type build struct{ name, path string }

// builds is the value of a flag that may be repeated.
type builds []build

// String returns the value for usage texts.
func (b *builds) String() string { return fmt.Sprint(*b) }

// Set adds a build that is given as NAME=PATH.
func (b *builds) Set(text string) error {
	name, path, ok := strings.Cut(text, "=")
	if !ok {
		return errors.New("want NAME=PATH")
	}
	*b = append(*b, build{name, path})
	return nil
}

const (
	requestTimeout = 10 * time.Second
	// maxIdleConns is large enough that every client of a load can reuse its connection.
	maxIdleConns = 128
)

// bench has the settings, the HTTP client and the results of all measurements.
type bench struct {
	config       []byte // JSON configuration without a store section
	loadDuration time.Duration
	outages      int // number of leader outages of each kind per round
	missedWrites int // number of writes that a node misses before it catches up; 0 skips this measurement
	http         *http.Client
	metrics      metrics
}

func main() {
	log.SetFlags(0)
	b := &bench{
		http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
	}
	var measured builds
	config := flag.String("config", "examples/config.json", "path of a configuration without a store section")
	flag.DurationVar(&b.loadDuration, "span", 2*time.Second, "duration of each load")
	rounds := flag.Int("rounds", 3, "number of rounds")
	flag.IntVar(&b.outages, "outages", 4, "number of times that the leader is killed, and that it is paused, in each round")
	flag.IntVar(&b.missedWrites, "behind", 0, "number of writes that a node misses before it catches up; 0 skips this measurement")
	leases := flag.Bool("leases", false, "measure leases on five nodes instead of the store")
	flag.Var(&measured, "bin", "build to measure, as NAME=PATH; may be repeated")
	flag.Parse()
	if len(measured) == 0 {
		log.Fatal("no build to measure: the flag -bin is missing")
	}
	var err error
	if b.config, err = os.ReadFile(*config); err != nil {
		log.Fatal(err)
	}
	measure := b.measureStore
	if *leases {
		measure = b.measureLeases
	}
	for range *rounds {
		for _, built := range measured {
			if err := measure(built); err != nil {
				log.Fatalf("%s: %v", built.name, err)
			}
		}
	}
	b.metrics.print()
}
