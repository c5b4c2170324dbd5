package main

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// replica is one of three daemons that share a store.
type replica struct {
	name   string
	config object
	proc   *process
	eng    *engine
}

// newClass is the class that the new settings add.
const newClass = "nom-recall"

// divergentSettings changes the settings in the store, lets all replicas restart, and asks each for a request
// of the class that the new settings add.
func divergentSettings(p *play) (bool, error) {
	var peers []object
	for i := range 3 {
		peers = append(peers, object{"name": fmt.Sprint("s", i), "raft": freeAddr(), "admin": freeAddr()})
	}
	var replicas []*replica
	for i := range 3 {
		c, err := baseConfig(p.root)
		if err != nil {
			return false, err
		}
		name := fmt.Sprint("s", i)
		c["name"], c["listen"] = name, freeAddr()
		c["store"] = object{"node": name, "dir": filepath.Join(p.tmp, name), "peers": peers}
		replicas = append(replicas, &replica{name: name, config: c})
	}
	for _, r := range replicas {
		if err := r.start(p); err != nil {
			return false, err
		}
	}
	for _, r := range replicas {
		if err := r.awaitHealthy(20 * time.Second); err != nil {
			return false, err
		}
	}
	nodes := ""
	for _, peer := range peers {
		nodes += "," + peer["admin"].(string)
	}
	nodes = nodes[1:]
	settings := replicas[0].config["settings"].(object)
	text, err := json.Marshal(withNewClass(settings))
	if err != nil {
		return false, err
	}
	out, err := p.operator("store", "put", "config/settings", string(text), "--nodes", nodes)
	if err != nil {
		return false, fmt.Errorf("%w: store put: %v %s", errNotRun, err, out)
	}
	p.rec.both("the store acknowledged the new settings: %s", lastLine(out))
	time.Sleep(time.Second)
	if p.trouble {
		err = p.killAtRandom(replicas)
	} else {
		err = p.restartInTurn(replicas)
	}
	if err != nil {
		return false, err
	}
	for _, r := range replicas {
		if err := r.awaitHealthy(20 * time.Second); err != nil {
			return false, err
		}
	}
	p.rec.both("all replicas are up; 20 s to catch up")
	time.Sleep(20 * time.Second)
	held, stale := 0, 0
	for i, r := range replicas {
		local, err := p.operator("store", "get", "config/settings", "--local", "--nodes", peers[i]["admin"].(string))
		if err != nil {
			return false, fmt.Errorf("%w: store get: %v %s", errNotRun, err, local)
		}
		has := strings.Contains(local, newClass)
		served, refused, oldServed := 0, 0, 0
		for n := range 5 {
			switch r.ask(p, newClass, n) {
			case 200:
				served++
			case 429, 503:
				refused++
			}
			if r.ask(p, "cycle-check", n) == 200 {
				oldServed++
			}
		}
		if oldServed == 0 {
			return false, fmt.Errorf("%w: %s does not serve the old classes", errNotRun, r.name)
		}
		p.rec.both("%s: its copy of the store has the new settings: %v; of 5 requests of the new class it served %d, refused %d, failed %d",
			r.name, has, served, refused, 5-served-refused)
		if has {
			held++
		}
		if served+refused == 0 {
			stale++
		}
	}
	if held != 3 {
		return false, fmt.Errorf("%w: not all replicas hold the new settings", errNotRun)
	}
	return stale > 0, nil
}

// killAtRandom kills the replicas with SIGKILL at different times. Each comes back, with its folder, 9 to 12 s
// after its own death.
func (p *play) killAtRandom(replicas []*replica) error {
	type step struct {
		at      time.Duration
		replica int
		start   bool
	}
	steps := []step{{0, 0, false}, {6 * time.Second, 1, false}, {7 * time.Second, 2, false},
		{9 * time.Second, 0, true}, {18 * time.Second, 1, true}, {19 * time.Second, 2, true}}
	begun := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(begun.Add(s.at)))
		r := replicas[s.replica]
		if s.start {
			if err := r.start(p); err != nil {
				return err
			}
			continue
		}
		p.rec.both("%s is killed", r.name)
		r.proc.kill()
		r.eng.close()
	}
	return nil
}

// restartInTurn restarts one replica after the other with SIGTERM, as in a planned change.
func (p *play) restartInTurn(replicas []*replica) error {
	for _, r := range replicas {
		p.rec.both("%s is told to leave", r.name)
		r.proc.signal(syscall.SIGTERM)
		select {
		case <-r.proc.exited:
		case <-time.After(6 * time.Second):
			return fmt.Errorf("%w: %s does not end", errNotRun, r.name)
		}
		r.eng.close()
		if err := r.start(p); err != nil {
			return err
		}
		if err := r.awaitHealthy(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// start starts a replica with an engine of its own, which has just started too.
func (r *replica) start(p *play) (err error) {
	if r.eng, err = startEngine(p.rec, 20*time.Millisecond, nil); err != nil {
		return err
	}
	r.config["engine"] = r.eng.addr()
	config := filepath.Join(p.tmp, r.name+".json")
	if err := writeJSON(config, r.config); err != nil {
		return err
	}
	r.proc, err = startService(p.root, config, filepath.Join(p.tmp, r.name+".log"))
	p.rec.both("%s is started", r.name)
	return err
}

func (r *replica) awaitHealthy(limit time.Duration) error {
	return await(limit, r.name+" healthy", func() bool { return healthy(r.config["listen"].(string)) })
}

// ask sends one request and returns the status of its answer, 0 without one.
func (r *replica) ask(p *play, class string, n int) int {
	b, err := dialBalancer(r.config["listen"].(string))
	if err != nil {
		return 0
	}
	defer b.conn.Close()
	trace := newTraceID()
	a, err := b.call(trace, class, "", fmt.Sprint("question ", n), 5*time.Second)
	p.rec.line("balancer %s %s %s answered %d %v", r.name, trace, class, a.status, err)
	return a.status
}

// operator runs an operators' command of the program.
func (p *play) operator(args ...string) (string, error) {
	out, err := exec.Command(filepath.Join(p.root, "bin", "oxbowbridge"), args...).CombinedOutput()
	return string(out), err
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

// withNewClass returns a copy of the settings with one more class.
func withNewClass(settings object) object {
	text, _ := json.Marshal(settings)
	var c object
	json.Unmarshal(text, &c)
	classes := c["classes"].([]any)
	added, _ := json.Marshal(classes[1])
	var class object
	json.Unmarshal(added, &class)
	class["name"] = newClass
	c["classes"] = append(classes, class)
	info := c["family_info"].(object)
	info["class_calls"] = append(info["class_calls"].([]any), false)
	return c
}
