// Store measures the replicated store of one or more builds of the program, taking
// turns in each round, three daemons each on loopback ports:
//
//	go run ./bench/store -bin now=bin/oxbowbridge -bin before=/tmp/before/oxbowbridge
//
// It prints acknowledged writes a second, reads a second at a follower, and the time
// without a leader after a SIGKILL of it, as Markdown.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
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

var web = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 128}}

func main() {
	log.SetFlags(0)
	var bins builds
	config := flag.String("config", "examples/config.json", "configuration without a store")
	span := flag.Duration("span", 2*time.Second, "length of each measurement")
	rounds := flag.Int("rounds", 3, "how often")
	flag.Var(&bins, "bin", "a build, NAME=PATH; may be given again")
	flag.Parse()
	if len(bins) == 0 {
		log.Fatal("name a build with -bin")
	}
	text, err := os.ReadFile(*config)
	if err != nil {
		log.Fatal(err)
	}
	figures, order := map[string][]float64{}, []string{}
	note := func(name string, v float64) {
		if figures[name] == nil {
			order = append(order, name)
		}
		figures[name] = append(figures[name], v)
	}
	for range *rounds {
		for _, b := range bins {
			if err := measure(b, text, *span, note); err != nil {
				log.Fatalf("%s: %v", b.name, err)
			}
		}
	}
	fmt.Print("| measured | build | median | least | most |\n| --- | --- | --- | --- | --- |\n")
	slices.SortStableFunc(order, func(a, b string) int { // builds beside each other
		x, _, _ := strings.Cut(a, "|")
		y, _, _ := strings.Cut(b, "|")
		return strings.Compare(x, y)
	})
	for _, name := range order {
		v := figures[name]
		slices.Sort(v)
		fmt.Printf("| %s | %.0f | %.0f | %.0f |\n", strings.Replace(name, "|", " | ", 1), v[len(v)/2], v[0], v[len(v)-1])
	}
}

// trio is three daemons of one build.
type trio struct {
	bin   string
	dir   string
	admin []string
	files []string
	procs []*exec.Cmd
}

// free is an address that nothing listens on, below the ports that the system gives
// to outgoing connections, and given once.
func free() string {
	const first, most = 20000, 12000
	for range most {
		addr := fmt.Sprintf("127.0.0.1:%d", first+(int(given.Add(1))+os.Getpid()*97)%most)
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr
		}
	}
	log.Fatal("no port is free")
	return ""
}

var given atomic.Int64

func measure(b build, config []byte, span time.Duration, note func(string, float64)) error {
	t := &trio{bin: b.path}
	var err error
	if t.dir, err = os.MkdirTemp("", "store-bench"); err != nil {
		return err
	}
	defer os.RemoveAll(t.dir)
	defer t.stop()
	if err := t.start(config); err != nil {
		return err
	}
	lead, err := t.leader(-1)
	if err != nil {
		return err
	}
	for _, clients := range []int{1, 8, 64} {
		n, err := load(clients, span, func(c, i int) error {
			return ask("PUT", "http://"+t.admin[lead]+fmt.Sprintf("/store/k%d", c), fmt.Sprintf(`"%0100d"`, i))
		})
		if err != nil {
			return err
		}
		note(fmt.Sprintf("writes/s, %02d clients|%s", clients, b.name), n)
	}
	for _, query := range []string{"", "?local=1"} {
		n, err := load(8, span, func(c, _ int) error {
			return ask("GET", "http://"+t.admin[(lead+1)%3]+fmt.Sprintf("/store/k%d", c)+query, "")
		})
		if err != nil {
			return err
		}
		note(fmt.Sprintf("reads/s at a follower, 8 clients, GET%s|%s", query, b.name), n)
	}
	for range 4 {
		t.procs[lead].Process.Kill()
		t.procs[lead].Wait()
		began, was := time.Now(), lead
		for end := began.Add(20 * time.Second); ; {
			if err = ask("PUT", "http://"+t.admin[(was+1)%3]+"/store/after", "1"); err == nil || time.Now().After(end) {
				break
			}
			time.Sleep(2 * time.Millisecond)
		}
		if err != nil {
			return err
		}
		note("ms from the leader's SIGKILL to a write|"+b.name, float64(time.Since(began).Milliseconds()))
		if err := t.run(was); err != nil {
			return err
		}
		if lead, err = t.leader(was); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	return nil
}

func (t *trio) start(config []byte) error {
	var peers []map[string]string
	for i := range 3 {
		t.admin = append(t.admin, free())
		peers = append(peers, map[string]string{"name": fmt.Sprint("s", i), "raft": free(), "admin": t.admin[i]})
	}
	for i := range 3 {
		var c map[string]any
		if err := json.Unmarshal(config, &c); err != nil {
			return err
		}
		c["name"], c["listen"], c["engine"] = fmt.Sprint("s", i), free(), free()
		c["store"] = map[string]any{"node": fmt.Sprint("s", i), "dir": filepath.Join(t.dir, fmt.Sprint(i)), "peers": peers}
		text, err := json.Marshal(c)
		if err != nil {
			return err
		}
		t.files = append(t.files, filepath.Join(t.dir, fmt.Sprint(i, ".json")))
		if err := os.WriteFile(t.files[i], text, 0o600); err != nil {
			return err
		}
		t.procs = append(t.procs, nil)
		if err := t.run(i); err != nil {
			return err
		}
	}
	return nil
}

func (t *trio) run(i int) error {
	t.procs[i] = exec.Command(t.bin)
	t.procs[i].Env = append(os.Environ(), "BALANCER_CONFIG="+t.files[i])
	return t.procs[i].Start()
}

func (t *trio) stop() {
	for _, p := range t.procs {
		p.Process.Kill()
		p.Wait()
	}
}

// leader waits for a node other than one that says that it leads.
func (t *trio) leader(not int) (int, error) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for i, addr := range t.admin {
			res, err := web.Get("http://" + addr + "/status")
			if err != nil || i == not {
				continue
			}
			var st struct{ State string }
			err = json.NewDecoder(res.Body).Decode(&st)
			res.Body.Close()
			if err == nil && st.State == "Leader" {
				return i, nil
			}
		}
	}
	return 0, errors.New("no leader")
}

func ask(method, url, body string) error {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	res, err := web.Do(req)
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
func load(clients int, span time.Duration, do func(client, i int) error) (float64, error) {
	var n atomic.Int64
	var wg sync.WaitGroup
	failed := make(chan error, clients)
	began := time.Now()
	for c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Since(began) < span; i++ {
				if err := do(c, i); err != nil {
					failed <- err
					return
				}
				n.Add(1)
			}
		}()
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
