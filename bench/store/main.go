// Store measures the replicated store of one or more builds of the program, taking
// turns in each round, three daemons each on loopback ports:
//
//	go run ./bench/store -bin now=bin/oxbowbridge -bin before=/tmp/before/oxbowbridge
//
// It prints acknowledged writes a second, reads a second at a follower, the time from the
// loss of the leader to the next acknowledged write, and, of builds that know members,
// what a node that has missed much or lost its disk costs, as Markdown.
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

// build is a program that is measured.
type build struct{ name, path string }

// builds is a flag that may be given again.
type builds []build

// String is the value as usage texts show it.
func (b *builds) String() string { return fmt.Sprint(*b) }

// Set adds a build, NAME=PATH.
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
	// maxIdleConns lets each client of a load keep its connection.
	maxIdleConns = 128
)

// bench is what all measurements share.
type bench struct {
	config       []byte // JSON, without a store
	loadDuration time.Duration
	outages      int // how often the leader is lost in a round
	missedWrites int // before a node returns; 0 leaves that out
	http         *http.Client
	figures      figures
}

func main() {
	log.SetFlags(0)
	b := &bench{
		http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
	}
	var measured builds
	config := flag.String("config", "examples/config.json", "configuration without a store")
	flag.DurationVar(&b.loadDuration, "span", 2*time.Second, "length of each load")
	rounds := flag.Int("rounds", 3, "how often")
	flag.IntVar(&b.outages, "outages", 4, "how often the leader is killed, and stopped, in a round")
	flag.IntVar(&b.missedWrites, "behind", 0, "writes that a node misses before it is measured how it comes back; 0 leaves that out")
	leases := flag.Bool("leases", false, "measure leases, at five nodes, in place of the rest")
	flag.Var(&measured, "bin", "a build, NAME=PATH; may be given again")
	flag.Parse()
	if len(measured) == 0 {
		log.Fatal("name a build with -bin")
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
	b.figures.print()
}
