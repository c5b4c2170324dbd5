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
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oxbowbridge/internal/testrig"
)

type build struct{ name, path string }

type builds []build

func (b *builds) String() string { return fmt.Sprint(*b) }

func (b *builds) Set(text string) error {
	name, path, ok := strings.Cut(text, "=")
	if !ok {
		return errors.New("want NAME=PATH")
	}
	*b = append(*b, build{name, path})
	return nil
}

// bench is what all measurements share.
type bench struct {
	config  []byte
	span    time.Duration
	outages int
	behind  int
	web     *http.Client
	order   []string
	figures map[string]*hdrhistogram.Histogram
}

// note adds a value to a figure.
func (b *bench) note(name string, v float64) {
	if b.figures[name] == nil {
		b.order = append(b.order, name)
		b.figures[name] = hdrhistogram.New(1, 10_000_000, 3)
	}
	b.figures[name].RecordValue(int64(v))
}

func main() {
	log.SetFlags(0)
	var bins builds
	b := &bench{figures: map[string]*hdrhistogram.Histogram{}, web: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 128}}}
	config := flag.String("config", "examples/config.json", "configuration without a store")
	flag.DurationVar(&b.span, "span", 2*time.Second, "length of each load")
	rounds := flag.Int("rounds", 3, "how often")
	flag.IntVar(&b.outages, "outages", 4, "how often the leader is killed, and stopped, in a round")
	flag.IntVar(&b.behind, "behind", 0, "writes that a node misses before it is measured how it comes back; 0 leaves that out")
	leases := flag.Bool("leases", false, "measure leases, at five nodes, in place of the rest")
	flag.Var(&bins, "bin", "a build, NAME=PATH; may be given again")
	flag.Parse()
	if len(bins) == 0 {
		log.Fatal("name a build with -bin")
	}
	var err error
	if b.config, err = os.ReadFile(*config); err != nil {
		log.Fatal(err)
	}
	for range *rounds {
		for _, x := range bins {
			measure := b.measure
			if *leases {
				measure = b.leases
			}
			if err := measure(x); err != nil {
				log.Fatalf("%s: %v", x.name, err)
			}
		}
	}
	slices.SortStableFunc(b.order, func(x, y string) int { // builds beside each other
		x, _, _ = strings.Cut(x, "|")
		y, _, _ = strings.Cut(y, "|")
		return strings.Compare(x, y)
	})
	fmt.Print("| measured | build | times | median | p99 | least | most |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, name := range b.order {
		h := b.figures[name]
		fmt.Printf("| %s | %d | %d | %d | %d | %d |\n", strings.Replace(name, "|", " | ", 1), h.TotalCount(), h.ValueAtQuantile(50),
			h.ValueAtQuantile(99), h.Min(), h.Max())
	}
}

// tool is the rig's host here.
type tool struct {
	dir   string
	ended []func()
}

func (t *tool) Helper()                         {}
func (t *tool) Logf(format string, args ...any) { log.Printf(format, args...) }
func (t *tool) Cleanup(do func())               { t.ended = append(t.ended, do) }

// Fatalf ends the measurement of this build.
func (t *tool) Fatalf(format string, args ...any) { panic(fmt.Errorf(format, args...)) }

func (t *tool) TempDir() string {
	dir, err := os.MkdirTemp(t.dir, "")
	if err != nil {
		panic(err)
	}
	return dir
}

// process is one daemon.
type process struct{ *exec.Cmd }

func (p process) Signal(sig os.Signal) error { return p.Process.Signal(sig) }
func (p process) Kill()                      { p.Process.Kill(); p.Wait() }
func (p process) Log() string                { return "" }

// onCluster runs something on a new cluster of a build.
func (b *bench) onCluster(x build, nodes int, do func(*tool, *testrig.Cluster) error) (err error) {
	t := &tool{}
	if t.dir, err = os.MkdirTemp("", "store-bench"); err != nil {
		return err
	}
	defer os.RemoveAll(t.dir)
	defer func() {
		for _, do := range t.ended {
			do()
		}
		if r := recover(); r != nil {
			err = fmt.Errorf("%v", r)
		}
	}()
	c := testrig.NewCluster(t, nodes, nodes)
	c.Launch = func(node int, store map[string]any) testrig.Process { return b.launch(t, c, x, node, store) }
	defer c.KillAll()
	c.Bootstrap()
	return do(t, c)
}

func (b *bench) measure(x build) error {
	return b.onCluster(x, 3, func(_ *tool, c *testrig.Cluster) error { return b.measureStore(x, c) })
}

func (b *bench) measureStore(x build, c *testrig.Cluster) error {
	lead := c.WaitForLeader()
	for _, clients := range []int{1, 8, 64} {
		n, err := b.load(clients, b.span, func(id, i int) error { return b.put(c, lead, fmt.Sprint("k", id), fmt.Sprintf(`"%0100d"`, i)) })
		if err != nil {
			return err
		}
		b.note(fmt.Sprintf("writes/s, %02d clients|%s", clients, x.name), n)
	}
	for _, query := range []string{"", "?local=1"} {
		n, err := b.load(8, b.span, func(id, _ int) error {
			return b.ask("GET", "http://"+c.Peers[(lead+1)%3].Admin+fmt.Sprint("/store/k", id, query), "")
		})
		if err != nil {
			return err
		}
		b.note(fmt.Sprintf("reads/s at a follower, 8 clients, GET%s|%s", query, x.name), n)
	}
	for range b.outages {
		b.outage(c, "ms from the leader's SIGKILL to a write|"+x.name, c.Kill, c.Start)
		b.outage(c, "ms from the leader's SIGSTOP to a write|"+x.name, c.Pause, c.Resume)
	}
	if b.behind > 0 && len(c.Members(c.WaitForLeader())) == 3 {
		return b.comeBack(c, x)
	}
	return nil
}

func (b *bench) launch(t *tool, c *testrig.Cluster, x build, node int, store map[string]any) testrig.Process {
	var cfg map[string]any
	if err := json.Unmarshal(b.config, &cfg); err != nil {
		t.Fatalf("configuration: %v", err)
	}
	cfg["name"], cfg["listen"], cfg["engine"], cfg["store"] = c.Peers[node].Name, testrig.FreeAddr(t), testrig.FreeAddr(t), store
	text, err := json.Marshal(cfg)
	path := filepath.Join(t.dir, fmt.Sprint(node, ".json"))
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	cmd := exec.Command(x.path)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path)
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		t.Fatalf("start: %v", err)
	}
	return process{cmd}
}

// outage loses the leader, and measures until a write at another node is acknowledged.
func (b *bench) outage(c *testrig.Cluster, name string, lose, back func(int)) {
	lead := c.WaitForLeader()
	time.Sleep(300 * time.Millisecond) // it has told the others
	lose(lead)
	began := time.Now()
	for n := 1; b.put(c, (lead+1+n%2)%3, "after", "1") != nil; n++ {
		time.Sleep(2 * time.Millisecond)
	}
	b.note(name, float64(time.Since(began).Milliseconds()))
	back(lead)
	testrig.Await(c.T, "the node to be back", func() bool { return c.GetJSON(lead, "/store/after", new(int)) })
}

// comeBack has a node miss writes and return, and another one lose its disk, while a
// client goes on.
func (b *bench) comeBack(c *testrig.Cluster, x build) error {
	lead := c.WaitForLeader()
	lost := (lead + 1) % 3
	during := func(name string, do func()) {
		stop, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			for {
				select {
				case <-stop:
					return
				default:
				}
				began := time.Now()
				if b.put(c, lead, "beside", "1") == nil {
					b.note("us of a write "+name+"|"+x.name, float64(time.Since(began).Microseconds()))
				}
				time.Sleep(2 * time.Millisecond)
			}
		}()
		do()
		close(stop)
		<-ended
	}
	during("at rest", func() { time.Sleep(b.span) })
	c.Kill(lost)
	var left atomic.Int64
	left.Store(int64(b.behind))
	if _, err := b.load(64, time.Hour, func(id, i int) error {
		if left.Add(-1) < 0 {
			return io.EOF
		}
		return b.put(c, lead, fmt.Sprint("k", id), fmt.Sprintf(`"%0100d"`, i))
	}); !errors.Is(err, io.EOF) {
		return err
	}
	during("while a node catches up", func() {
		began := time.Now()
		c.Start(lost)
		testrig.Await(c.T, "it to be up to date", func() bool { return c.GetJSON(lost, "/store/beside", new(int)) })
		b.note(fmt.Sprintf("ms from the start of a node that misses %d writes to a fresh read|%s", b.behind, x.name), float64(time.Since(began).Milliseconds()))
	})
	during("while a lost disk is replaced", func() {
		began := time.Now()
		c.ReplaceDisk(lost)
		c.WaitForVoters(0, 1, 2)
		b.note("ms from a lost disk to full strength|"+x.name, float64(time.Since(began).Milliseconds()))
	})
	return nil
}

func (b *bench) put(c *testrig.Cluster, node int, key, value string) error {
	return b.ask("PUT", "http://"+c.Peers[node].Admin+"/store/"+key, value)
}

func (b *bench) ask(method, url, body string) error {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	res, err := b.web.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode >= 300 {
		err = fmt.Errorf("%s: %s", res.Status, text)
	}
	return err
}

// load is how often a second so many clients do something.
func (b *bench) load(clients int, span time.Duration, do func(client, i int) error) (float64, error) {
	var n atomic.Int64
	var wg sync.WaitGroup
	failed := make(chan error, clients)
	began := time.Now()
	for c := range clients {
		wg.Go(func() {
			for i := 0; time.Since(began) < span; i++ {
				if err := do(c, i); err != nil {
					failed <- err
					return
				}
				n.Add(1)
			}
		})
	}
	wg.Wait()
	took := time.Since(began)
	select {
	case err := <-failed:
		return 0, err
	default:
		return float64(n.Load()) / took.Seconds(), nil
	}
}
