// Command stand plays the cases of the review: it starts the project's program with the deploy file's
// command, and takes the place of balancers, engine, records service and directory on loopback addresses.
//
// Exit codes: 0 the rule held, 1 the rule was broken, 2 the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// play is what a case has to work with.
type play struct {
	root    string // of the project
	dir     string // of the case; record.txt goes there
	tmp     string
	trouble bool // false with TROUBLE=0: the same without the disruption
	rec     *recorder
}

var cases = map[string]func(*play) (broken bool, err error){
	"slow-write":         slowWrite,
	"reload-lacks-key":   reloadLacksKey,
	"divergent-settings": divergentSettings,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT FOLDER")
		return 2
	}
	root, err1 := filepath.Abs(os.Args[2])
	dir, err2 := filepath.Abs(os.Args[3])
	tmp, err3 := os.MkdirTemp("", "review")
	rec, err4 := newRecorder(dir)
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(tmp)
	defer killAll()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	p := &play{root: root, dir: dir, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", rec: rec}
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](p)
		done <- outcome{broken, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-stop:
		o.err = fmt.Errorf("%w: interrupted", errNotRun)
	case <-time.After(115 * time.Second):
		o.err = fmt.Errorf("%w: took too long", errNotRun)
	}
	switch {
	case o.err != nil:
		rec.both("the case could not run: %v", o.err)
		return 2
	case o.broken:
		rec.both("the rule was BROKEN")
		return 1
	}
	rec.both("the rule held")
	return 0
}

// service starts the program with a configuration and waits until a health check is good.
func (p *play) service(name string, c object) (*process, string, error) {
	config := filepath.Join(p.tmp, name+".json")
	if err := writeJSON(config, c); err != nil {
		return nil, "", err
	}
	proc, err := startService(p.root, config, filepath.Join(p.tmp, name+".log"))
	if err != nil {
		return nil, "", err
	}
	addr := c["listen"].(string)
	err = await(20*time.Second, "a good health check", func() bool { return proc.running() && healthy(addr) })
	return proc, config, err
}

// healthy makes one health check.
func healthy(addr string) bool {
	b, err := dialBalancer(addr)
	if err != nil {
		return false
	}
	defer b.conn.Close()
	id, ch := b.register()
	msg := record(1, id, []byte{0, 1, 1, 0, 0, 0, 0, 0})
	msg = append(msg, record(4, id, []byte("\x0b\x05SCRIPT_NAME/ping\x0e\x04REQUEST_METHODPOST"))...)
	msg = append(msg, record(4, id, nil)...)
	msg = append(msg, record(5, id, nil)...)
	if b.write(msg) != nil {
		return false
	}
	a, err := b.await(ch, time.Second)
	return err == nil && a.status == 200
}
