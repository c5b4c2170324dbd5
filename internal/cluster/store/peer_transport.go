package store

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/diskidentity"
)

const (
	// maxPendingHandshakes bounds the connections whose handshake is not complete, as each holds a file
	// descriptor.
	maxPendingHandshakes = 64
	acceptRetryInterval  = 10 * time.Millisecond
)

// peerTransport is the stream layer of Raft's transport. The connecting node sends its member ID, the
// member ID of the node that it expects, and its cluster ID. A node with another disk, or of another
// cluster, rejects the connection.
type peerTransport struct {
	listener       net.Listener
	memberID       string
	clusterID      func() string
	configuredPeer func(name string) (Peer, bool) // looks up a node in the configuration file
	accepted       chan net.Conn                  // connections that completed the handshake
	handshakes     chan struct{}                  // semaphore with one token for each pending handshake
	done           chan struct{}                  // closed by Close
	closeOnce      sync.Once
}

var _ raft.StreamLayer = (*peerTransport)(nil)

// listenPeers listens on addr as a member.
func listenPeers(addr, memberID string, clusterID func() string, configuredPeer func(string) (Peer, bool)) (*peerTransport, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("raft address: %w", err)
	}
	t := &peerTransport{
		listener:       listener,
		memberID:       memberID,
		clusterID:      clusterID,
		configuredPeer: configuredPeer,
		accepted:       make(chan net.Conn),
		handshakes:     make(chan struct{}, maxPendingHandshakes),
		done:           make(chan struct{}),
	}
	go t.acceptLoop()
	return t, nil
}

func (t *peerTransport) acceptLoop() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			select {
			case <-t.done:
				return
			case <-time.After(acceptRetryInterval):
				continue
			}
		}
		select {
		case t.handshakes <- struct{}{}:
			go func() {
				defer func() { <-t.handshakes }()
				t.handleHandshake(conn)
			}()
		default:
			conn.Close()
		}
	}
}

// handleHandshake passes a connection to Accept if its handshake names this member.
func (t *peerTransport) handleHandshake(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	identified, err := t.identify(conn)
	if err != nil {
		conn.Close()
		return
	}
	conn.SetDeadline(time.Time{})
	select {
	case t.accepted <- identified:
	case <-t.done:
		conn.Close()
	}
}

// identify reads the handshake. Members of an earlier version, identified by their names alone, send none
// to each other.
func (t *peerTransport) identify(conn net.Conn) (net.Conn, error) {
	first := make([]byte, 1)
	if _, err := io.ReadFull(conn, first); err != nil {
		return nil, err
	}
	if first[0] != handshakePrefix[0] {
		if diskidentity.MemberDisk(t.memberID) != "" {
			return nil, errHandshake
		}
		return &replayConn{Conn: conn, unread: first}, nil
	}
	if err := t.checkHandshake(conn); err != nil {
		fmt.Fprintf(conn, "%s%v\n", handshakeRejected, err)
		return nil, err
	}
	return &replayConn{Conn: conn}, nil
}

func (t *peerTransport) checkHandshake(conn net.Conn) error {
	header, err := readHandshake(conn)
	if err != nil {
		return err
	}
	switch clusterID := t.clusterID(); {
	case header.To != t.memberID:
		return fmt.Errorf("%w: this is %s, not %s", errWrongMember, t.memberID, header.To)
	case clusterID != "" && header.Cluster != "" && clusterID != header.Cluster:
		return fmt.Errorf("%w: this is of cluster %s, not of %s", errWrongMember, clusterID, header.Cluster)
	}
	_, err = io.WriteString(conn, handshakeAccepted)
	return err
}

// Accept returns the next connection that completed the handshake.
func (t *peerTransport) Accept() (net.Conn, error) {
	select {
	case conn := <-t.accepted:
		return conn, nil
	case <-t.done:
		return nil, net.ErrClosed
	}
}

// Addr returns the listener's address.
func (t *peerTransport) Addr() net.Addr { return t.listener.Addr() }

// Close stops listening.
func (t *peerTransport) Close() error {
	t.closeOnce.Do(func() {
		close(t.done)
		t.listener.Close()
	})
	return nil
}

// Dial connects to the member in an address of the configuration. The configuration file's address for the
// node takes precedence.
func (t *peerTransport) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	id := addressMemberID(addr)
	peer := decodePeer(raft.ServerID(id), addr)
	if configured, ok := t.configuredPeer(peer.Name); ok {
		peer.Raft = configured.Raft
	}
	conn, err := net.DialTimeout("tcp", peer.Raft, timeout)
	if err != nil || diskidentity.MemberDisk(id) == "" {
		return conn, err
	}
	if err := sendHandshake(conn, handshakeHeader{From: t.memberID, To: id, Cluster: t.clusterID()}, timeout); err != nil {
		conn.Close()
		return nil, fmt.Errorf("handshake with %s: %w", id, err)
	}
	return conn, conn.SetDeadline(time.Time{})
}
