package store

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/diskidentity"
)

const (
	greetTime  = time.Second // for the words before Raft's own
	greetBytes = 1 << 10
	greetMost  = 64 // connections that have not said them yet
	greetWord  = "oxbowbridge/1 "
)

// An address in the cluster's configuration holds all that others must know of a
// member, so that it changes in one entry of the log with the members themselves.
func addressOf(p Peer, id string) raft.ServerAddress {
	return raft.ServerAddress(strings.Join([]string{id, p.Raft, p.Admin, p.Zone}, "|"))
}

// peerOf reads an address; one of the version before is a plain one.
func peerOf(id raft.ServerID, addr raft.ServerAddress) Peer {
	p := Peer{Name: diskidentity.MemberName(string(id)), Raft: string(addr)}
	if parts := strings.Split(string(addr), "|"); len(parts) == 4 {
		p.Raft, p.Admin, p.Zone = parts[1], parts[2], parts[3]
	}
	return p
}

// greeting is the first line of a connection between two nodes.
type greeting struct {
	From    string `json:"from"`
	To      string `json:"to"` // name and disk: another disk under the name is not meant
	Cluster string `json:"cluster,omitempty"`
}

// wire is Raft's network. Whoever connects says which member it is, which one it wants,
// and of which cluster it is; a node whose folder is a new one, or of another cluster, is
// not taken for the one that was meant.
type wire struct {
	ln      net.Listener
	id      string
	cluster func() string
	file    func(name string) (Peer, bool) // where the file says that a node is
	ready   chan net.Conn
	done    chan struct{}
	once    sync.Once
	waiting chan struct{}
}

func listenWire(addr, id string, cluster func() string, file func(string) (Peer, bool)) (*wire, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("raft address: %w", err)
	}
	w := &wire{ln: ln, id: id, cluster: cluster, file: file, ready: make(chan net.Conn), done: make(chan struct{}),
		waiting: make(chan struct{}, greetMost)}
	go w.listen()
	return w, nil
}

func (w *wire) listen() {
	for {
		c, err := w.ln.Accept()
		if err != nil {
			select {
			case <-w.done:
				return
			case <-time.After(10 * time.Millisecond):
				continue
			}
		}
		select {
		case w.waiting <- struct{}{}:
			go func() {
				defer func() { <-w.waiting }()
				w.greeted(c)
			}()
		default: // guards the descriptors against callers that say nothing
			c.Close()
		}
	}
}

// greeted reads who is there, and hands the connection on.
func (w *wire) greeted(c net.Conn) {
	c.SetDeadline(time.Now().Add(greetTime))
	first := make([]byte, 1)
	if _, err := io.ReadFull(c, first); err != nil {
		c.Close()
		return
	}
	if first[0] == greetWord[0] {
		if err := w.check(c); err != nil {
			fmt.Fprintf(c, "no: %v\n", err)
			c.Close()
			return
		}
		c = &greetedConn{Conn: c}
	} else if diskidentity.MemberDisk(w.id) == "" { // both are of the version before, as the cluster knows them
		c = &greetedConn{Conn: c, first: first}
	} else {
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	select {
	case w.ready <- c:
	case <-w.done:
		c.Close()
	}
}

var errAnother = errors.New("another is meant")

func (w *wire) check(c net.Conn) error {
	line, err := bufio.NewReaderSize(io.LimitReader(oneByte{c}, greetBytes), 16).ReadString('\n')
	if err != nil {
		return fmt.Errorf("greeting can't be read: %w", err)
	}
	var g greeting
	text, ok := strings.CutPrefix(line, greetWord[1:])
	if err := json.Unmarshal([]byte(text), &g); !ok || err != nil {
		return errors.New("greeting can't be read")
	}
	switch own := w.cluster(); {
	case g.To != w.id:
		return fmt.Errorf("%w: this is %s, not %s", errAnother, w.id, g.To)
	case own != "" && g.Cluster != "" && own != g.Cluster:
		return fmt.Errorf("%w: this is of cluster %s, not of %s", errAnother, own, g.Cluster)
	}
	_, err = io.WriteString(c, "yes\n")
	return err
}

// oneByte keeps a buffered reader from reading past the line.
type oneByte struct{ io.Reader }

func (o oneByte) Read(b []byte) (int, error) { return o.Reader.Read(b[:min(1, len(b))]) }

// greetedConn gives back the byte that was looked at.
type greetedConn struct {
	net.Conn
	first []byte
}

func (c *greetedConn) Read(b []byte) (int, error) {
	if len(c.first) > 0 && len(b) > 0 {
		n := copy(b, c.first)
		c.first = c.first[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}

// Accept gives connections that have said who they are.
func (w *wire) Accept() (net.Conn, error) {
	select {
	case c := <-w.ready:
		return c, nil
	case <-w.done:
		return nil, net.ErrClosed
	}
}

// Addr is where it listens.
func (w *wire) Addr() net.Addr { return w.ln.Addr() }

// Close stops listening.
func (w *wire) Close() error {
	w.once.Do(func() { close(w.done); w.ln.Close() })
	return nil
}

// Dial connects to the member that an address of the configuration names.
func (w *wire) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	id, _, _ := strings.Cut(string(to), "|")
	p := peerOf(raft.ServerID(id), to)
	if own, ok := w.file(p.Name); ok { // goes first
		p.Raft = own.Raft
	}
	c, err := net.DialTimeout("tcp", p.Raft, timeout)
	if err != nil || diskidentity.MemberDisk(id) == "" {
		return c, err
	}
	text, err := json.Marshal(greeting{From: w.id, To: id, Cluster: w.cluster()})
	if err != nil {
		c.Close()
		return nil, err
	}
	c.SetDeadline(time.Now().Add(min(greetTime, timeout)))
	said := ""
	if _, err = fmt.Fprintf(c, "%s%s\n", greetWord, text); err == nil {
		said, err = bufio.NewReaderSize(io.LimitReader(oneByte{c}, greetBytes), 16).ReadString('\n')
	}
	if err == nil && said != "yes\n" {
		err = fmt.Errorf("%s says %s", id, strings.TrimSpace(said))
	}
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("greet %s: %w", id, err)
	}
	return c, c.SetDeadline(time.Time{})
}
