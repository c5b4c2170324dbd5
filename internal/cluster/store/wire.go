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
func encodeAddress(p Peer, id string) raft.ServerAddress {
	return raft.ServerAddress(strings.Join([]string{id, p.Raft, p.Admin, p.Zone}, "|"))
}

// decodePeer reads an address; one of the version before is a plain one.
func decodePeer(id raft.ServerID, addr raft.ServerAddress) Peer {
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

// peerTransport is Raft's network. Whoever connects says which member it is, which one it wants,
// and of which cluster it is; a node whose folder is a new one, or of another cluster, is
// not taken for the one that was meant.
type peerTransport struct {
	listener       net.Listener
	memberID       string
	clusterID      func() string
	configuredPeer func(name string) (Peer, bool) // where the file says that a node is
	accepted       chan net.Conn
	done           chan struct{}
	once           sync.Once
	handshakes     chan struct{}
}

func listenPeers(addr, id string, cluster func() string, file func(string) (Peer, bool)) (*peerTransport, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("raft address: %w", err)
	}
	w := &peerTransport{listener: ln, memberID: id, clusterID: cluster, configuredPeer: file, accepted: make(chan net.Conn), done: make(chan struct{}),
		handshakes: make(chan struct{}, greetMost)}
	go w.acceptLoop()
	return w, nil
}

func (w *peerTransport) acceptLoop() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			select {
			case <-w.done:
				return
			case <-time.After(10 * time.Millisecond):
				continue
			}
		}
		select {
		case w.handshakes <- struct{}{}:
			go func() {
				defer func() { <-w.handshakes }()
				w.handshake(c)
			}()
		default: // guards the descriptors against callers that say nothing
			c.Close()
		}
	}
}

// handshake reads who is there, and hands the connection on.
func (w *peerTransport) handshake(c net.Conn) {
	c.SetDeadline(time.Now().Add(greetTime))
	first := make([]byte, 1)
	if _, err := io.ReadFull(c, first); err != nil {
		c.Close()
		return
	}
	if first[0] == greetWord[0] {
		if err := w.checkGreeting(c); err != nil {
			fmt.Fprintf(c, "no: %v\n", err)
			c.Close()
			return
		}
		c = &greetedConn{Conn: c}
	} else if diskidentity.MemberDisk(w.memberID) == "" { // both are of the version before, as the cluster knows them
		c = &greetedConn{Conn: c, first: first}
	} else {
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	select {
	case w.accepted <- c:
	case <-w.done:
		c.Close()
	}
}

var errWrongMember = errors.New("another is meant")

func (w *peerTransport) checkGreeting(c net.Conn) error {
	line, err := bufio.NewReaderSize(io.LimitReader(oneByte{c}, greetBytes), 16).ReadString('\n')
	if err != nil {
		return fmt.Errorf("greeting can't be read: %w", err)
	}
	var g greeting
	text, ok := strings.CutPrefix(line, greetWord[1:])
	if err := json.Unmarshal([]byte(text), &g); !ok || err != nil {
		return errors.New("greeting can't be read")
	}
	switch own := w.clusterID(); {
	case g.To != w.memberID:
		return fmt.Errorf("%w: this is %s, not %s", errWrongMember, w.memberID, g.To)
	case own != "" && g.Cluster != "" && own != g.Cluster:
		return fmt.Errorf("%w: this is of cluster %s, not of %s", errWrongMember, own, g.Cluster)
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
func (w *peerTransport) Accept() (net.Conn, error) {
	select {
	case c := <-w.accepted:
		return c, nil
	case <-w.done:
		return nil, net.ErrClosed
	}
}

// Addr is where it listens.
func (w *peerTransport) Addr() net.Addr { return w.listener.Addr() }

// Close stops listening.
func (w *peerTransport) Close() error {
	w.once.Do(func() { close(w.done); w.listener.Close() })
	return nil
}

// Dial connects to the member that an address of the configuration names.
func (w *peerTransport) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	id, _, _ := strings.Cut(string(to), "|")
	p := decodePeer(raft.ServerID(id), to)
	if own, ok := w.configuredPeer(p.Name); ok { // goes first
		p.Raft = own.Raft
	}
	c, err := net.DialTimeout("tcp", p.Raft, timeout)
	if err != nil || diskidentity.MemberDisk(id) == "" {
		return c, err
	}
	text, err := json.Marshal(greeting{From: w.memberID, To: id, Cluster: w.clusterID()})
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
