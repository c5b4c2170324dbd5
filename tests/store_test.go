package tests

import (
	"bufio"
	"bytes"
	"database/sql"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	_ "modernc.org/sqlite"

	"oxbowbridge/internal/testrig"
)

// cluster is a test cluster whose nodes are processes of the program.
type cluster struct {
	*testrig.Cluster
	nodes     []*service
	buildPath string // executable to run; empty for the one that TestMain built
}

// newRunningCluster starts a cluster of three nodes, with an SQL mirror if sql is not nil.
func newRunningCluster(t *testing.T, sql object) *cluster {
	c := newStoppedCluster(t, 3, 3)
	if sql != nil {
		c.StoreFields["sql"] = sql
	}
	c.Bootstrap()
	return c
}

// newStoppedCluster returns a cluster whose nodes have not been started.
func newStoppedCluster(t *testing.T, founders, nodes int) *cluster {
	c := &cluster{Cluster: testrig.NewCluster(t, founders, nodes), nodes: make([]*service, nodes)}
	c.Launch = func(i int, store map[string]any) testrig.Process {
		c.nodes[i] = startServiceBuild(t, c.buildPath, func(cfg object) {
			cfg["name"], cfg["engine"], cfg["store"] = c.Peers[i].Name, newEngineStandin(t).addr, store
		})
		return c.nodes[i]
	}
	return c
}

// TestStore covers writes at any node, the loss of the leader, a lagging member, a restart of all nodes, and
// settings from the store.
func TestStore(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "record.db")
	c := newRunningCluster(t, object{"driver": "sqlite", "dsn": "file:" + path + "?_pragma=busy_timeout(5000)"})
	for i := range 3 {
		c.Put(i, fmt.Sprint("note/", i), `"from here"`)
		c.WaitForValue(i, fmt.Sprint("state/s", i), awaitPublishedState(t, c, i))
	}
	for i := range 3 {
		c.WaitForValue(i, "note/2", `"from here"`)
	}
	code, text := c.Request(0, "PUT", "/store/note/x", "{")
	assert.Equal(t, 400, code, text)
	stoppedNode := c.WaitForLeader()
	c.Kill(stoppedNode)
	newLeader := c.WaitForLeader()
	require.NotEqual(t, stoppedNode, newLeader)
	c.Put(newLeader, "note/while", `"away"`)
	code, _ = c.Request(newLeader, "DELETE", "/store/note/0", "")
	assert.Equal(t, 204, code)
	c.Start(stoppedNode)
	c.WaitForValue(stoppedNode, "note/while", `"away"`) // written while the node was stopped
	await(t, "the deletion at the restarted node", func() bool { code, _ := c.Request(stoppedNode, "GET", "/store/note/0", ""); return code == 404 })
	set := settings()
	set["classes"] = []object{{"name": "only-class", "effect": "idempotent", "value": 1, "aim_ns": 1e9, "deadline_ns": 2e9}}
	settingsText, err := json.Marshal(set)
	require.NoError(t, err)
	c.Put(0, "config/settings", string(settingsText))
	for i := range 3 {
		c.Kill(i)
	}
	for i := range 3 {
		c.Start(i)
	}
	for i := range 3 {
		c.WaitForValue(i, "note/while", `"away"`)
		c.nodes[i].awaitReady()
		w := &testbed{service: c.nodes[i]}
		assert.Equal(t, []int{200, 400}, []int{w.responseStatus("only-class", "ok"), w.responseStatus("nom-submit", "ok")})
	}
	c.Put(0, "config/log_level", `"error"`)
	await(t, "warnings to be suppressed", func() bool {
		lines := strings.Count(c.nodes[1].log(), "no such class")
		(&testbed{service: c.nodes[1]}).responseStatus("nom-submit", "ok")
		return lines > 0 && strings.Count(c.nodes[1].log(), "no such class") == lines
	})
	c.Put(0, "config/log_level", `"info"`)
	db, err := sql.Open("sqlite", "file:"+path+"?mode=ro&_pragma=busy_timeout(5000)")
	require.NoError(t, err)
	defer db.Close()
	await(t, "the key in the SQL mirror", func() bool {
		var written, deleted int
		err := db.QueryRow(`SELECT count(value), count(*) - count(value) FROM oxbowbridge_store WHERE name LIKE 'note/%'`).Scan(&written, &deleted)
		return err == nil && written == 3 && deleted == 1
	})
	for i := range 3 {
		c.nodes[i].terminate()
	}
	for i := range 3 { // all disks are lost; the SQL mirror has the keys
		c.Dirs[i] = t.TempDir()
		c.Start(i)
	}
	c.WaitForValue(1, "note/while", `"away"`)
}

// awaitPublishedState waits until a node has published its service state, and returns it.
func awaitPublishedState(t *testing.T, c *cluster, i int) (text string) {
	await(t, "the published state", func() bool {
		var code int
		code, text = c.Request(i, "GET", fmt.Sprint("/store/state/s", i), "")
		return code == 200
	})
	require.Contains(t, text, `"state":"open"`)
	return text
}

// TestStoreOfRecordAway: the store works while its PostgreSQL mirror is unreachable, and the mirror catches up
// later.
func TestStoreOfRecordAway(t *testing.T) {
	t.Parallel()
	addr := freeAddr(t)
	c := newRunningCluster(t, object{"driver": "postgres", "dsn": "postgres://operator@" + addr + "/records?sslmode=disable"})
	c.Put(0, "note/early", `{"n":1}`)
	var mirrorNode *service // the node with the mirror lease
	await(t, "a node to log that the SQL mirror is unavailable", func() bool {
		for _, n := range c.nodes {
			if strings.Contains(n.log(), "sql mirror unavailable") {
				mirrorNode = n
			}
		}
		return mirrorNode != nil
	})
	pg := newPostgresStandin(t, addr)
	c.Put(1, "note/later", `2`)
	await(t, "both rows in PostgreSQL", func() bool { return pg.value("note/early") == `{"n":1}` && pg.value("note/later") == "2" })
	await(t, "the node to log that the SQL mirror is available", func() bool { return strings.Contains(mirrorNode.log(), "sql mirror available again") })
	for i := range 3 {
		c.Kill(i)
		c.Dirs[i] = t.TempDir()
	}
	for i := range 3 {
		c.Start(i)
	}
	c.WaitForValue(2, "note/early", `{"n":1}`) // imported from PostgreSQL
	c.Put(2, "note/early", `3`)
	await(t, "the new row in PostgreSQL", func() bool { return pg.value("note/early") == "3" })
}

// postgresStandin stands in for a PostgreSQL server: version 3 of the protocol, limited to the store's
// statements.
type postgresStandin struct {
	mu       sync.Mutex
	rows     map[string][2]any // by key: the value (nil or a string) and the index
	maxToken int64             // highest fencing token
}

func newPostgresStandin(t *testing.T, addr string) *postgresStandin {
	p := &postgresStandin{rows: map[string][2]any{}}
	ln, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *postgresStandin) value(key string) any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rows[key][0]
}

func (p *postgresStandin) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	send := func(kind byte, content ...byte) {
		b := binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(content)+4))
		c.Write(append(b, content...))
	}
	read := func() []byte {
		n := make([]byte, 4)
		if _, err := io.ReadFull(r, n); err != nil {
			return nil
		}
		b := make([]byte, binary.BigEndian.Uint32(n)-4)
		io.ReadFull(r, b)
		return b
	}
	read() // startup message
	send('R', 0, 0, 0, 0)
	send('S', []byte("client_encoding\x00UTF8\x00")...)
	send('S', []byte("standard_conforming_strings\x00on\x00")...)
	send('K', 0, 0, 0, 1, 0, 0, 0, 1)
	send('Z', 'I')
	queries, query := map[string]string{}, ""
	var args [][]byte
	for {
		kind, err := r.ReadByte()
		if err != nil {
			return
		}
		b := read()
		switch kind {
		case 'Q':
			if strings.HasPrefix(string(b), "--") {
				send('I')
			} else {
				send('C', []byte("OK\x00")...)
			}
			send('Z', map[bool]byte{true: 'T', false: 'I'}[strings.HasPrefix(string(b), "begin")])
		case 'P':
			parts := bytes.SplitN(b, []byte{0}, 3)
			queries[string(parts[0])] = string(parts[1])
			send('1')
		case 'D':
			p.describe(queries[string(b[1:len(b)-1])], b[0] == 'S', send)
		case 'B':
			query, args = parseBind(b, queries)
			send('2')
		case 'E':
			p.execute(query, args, send)
		case 'C':
			send('3')
		case 'S':
			send('Z', 'T')
		case 'X':
			return
		}
	}
}

func (p *postgresStandin) describe(query string, statement bool, send func(byte, ...byte)) {
	if statement {
		b := []byte{0, byte(strings.Count(query, "$"))}
		types := []uint32{25, 25, 20}
		if strings.Contains(query, "oxbowbridge_lease") {
			types = []uint32{25, 20}
		}
		for i := range b[1] {
			b = binary.BigEndian.AppendUint32(b, types[i])
		}
		send('t', b...)
	}
	if !strings.HasPrefix(query, "SELECT") {
		send('n')
		return
	}
	b := []byte{0, 3}
	for i, name := range []string{"name", "value", "idx"} {
		b = append(append(b, name...), 0, 0, 0, 0, 0, 0, 0)
		b = binary.BigEndian.AppendUint32(b, []uint32{25, 25, 20}[i])
		b = append(b, 0, 8, 0, 0, 0, 0, 0, 0)
	}
	send('T', b...)
}

// parseBind decodes the statement's name and the arguments of a Bind message.
func parseBind(b []byte, queries map[string]string) (string, [][]byte) {
	parts := bytes.SplitN(b, []byte{0}, 3)
	b = parts[2]
	b = b[2+2*binary.BigEndian.Uint16(b):] // skips the parameter formats
	n := binary.BigEndian.Uint16(b)
	b = b[2:]
	var args [][]byte
	for range n {
		size := int32(binary.BigEndian.Uint32(b))
		b = b[4:]
		if size < 0 {
			args = append(args, nil)
			continue
		}
		args = append(args, b[:size])
		b = b[size:]
	}
	return queries[string(parts[1])], args
}

func (p *postgresStandin) execute(query string, args [][]byte, send func(byte, ...byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	done := "OK\x00"
	switch {
	case strings.HasPrefix(query, "INSERT INTO oxbowbridge_lease"):
		done = "INSERT 0 0\x00"
		if token := int64(binary.BigEndian.Uint64(args[1])); token >= p.maxToken {
			p.maxToken, done = token, "INSERT 0 1\x00"
		}
	case strings.HasPrefix(query, "INSERT"):
		index := int64(binary.BigEndian.Uint64(args[2]))
		if old, ok := p.rows[string(args[0])]; !ok || old[1].(int64) <= index {
			p.rows[string(args[0])] = [2]any{string(args[1]), index}
		}
	case strings.HasPrefix(query, "UPDATE"):
		for key, row := range p.rows {
			p.rows[key] = [2]any{row[0], int64(0)}
		}
	case strings.HasPrefix(query, "SELECT"):
		for key, row := range p.rows {
			b := []byte{0, 3}
			for _, v := range [][]byte{[]byte(key), []byte(row[0].(string)), binary.BigEndian.AppendUint64(nil, uint64(row[1].(int64)))} {
				b = append(binary.BigEndian.AppendUint32(b, uint32(len(v))), v...)
			}
			send('D', b...)
		}
	}
	send('C', []byte(done)...)
}
