package store

import (
	"encoding/json"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/membership"
	"oxbowbridge/internal/cluster/storeapi"
)

// assertGoldenJSON checks that a value encodes to the given JSON text, and that the text decodes to the
// value.
func assertGoldenJSON[T any](t *testing.T, value T, text string) {
	t.Helper()
	got, err := json.Marshal(value)
	require.NoError(t, err)
	assert.Equal(t, text, string(got))
	var back T
	require.NoError(t, json.Unmarshal([]byte(text), &back))
	assert.Equal(t, value, back)
}

// TestGoldenLogEntries checks the formats of log entries that released versions have written.
func TestGoldenLogEntries(t *testing.T) {
	assertGoldenJSON(t, []command{{Key: "a/b", Value: json.RawMessage(`{"n":1}`)}, {Key: "c", Value: json.RawMessage("null")}},
		`[{"key":"a/b","value":{"n":1}},{"key":"c","value":null}]`)
	r, err := decodeLogEntry([]byte(`[{"key":"a/b","value":{"n":1}},{"key":"c","value":null}]`))
	require.NoError(t, err)
	assert.Equal(t, &kv.Request{Then: []kv.Op{{Kind: "put", Key: "a/b", Value: json.RawMessage(`{"n":1}`)}, {Kind: "delete", Key: "c"}}}, r)
	r, err = decodeLogEntry([]byte(`{"time_ms":5,"floor":6,"fence":[{"name":"l","token":7}],"session":8,"number":9,` +
		`"if":[{"key":"k","revision":10}],"then":[{"do":"put","key":"k","value":1}],"else":[{"do":"get","key":"k"}]}`))
	require.NoError(t, err)
	assert.Equal(t, &kv.Request{TimeMS: 5, TokenFloor: 6, Fences: []lease.FencingToken{{Name: "l", Token: 7}}, SessionID: 8, RequestNumber: 9,
		If: []kv.Compare{{Key: "k", Revision: 10}}, Then: []kv.Op{{Kind: "put", Key: "k", Value: json.RawMessage("1")}},
		Else: []kv.Op{{Kind: "get", Key: "k"}}}, r)
}

const goldenState = `{"applied":3,"time_ms":1000,` +
	`"entries":{"a":{"value":1,"index":1,"created":1,"version":1,"gone":false},"b":{"index":2,"gone":true}},` +
	`"sessions":{"3":{"seen_ms":1000,"last":0,"kept":null}},` +
	`"leases":{"last":0,"queued":0,"leases":{}},"sum":{"from":0,"sum":8230598266570899889}}` + "\n"

// TestGoldenSnapshot checks that a snapshot is the state as one line of JSON, and that a restored state
// writes an identical snapshot.
func TestGoldenSnapshot(t *testing.T) {
	s := newReplicatedState()
	for i, text := range []string{`[{"key":"a","value":1},{"key":"b","value":2}]`, `[{"key":"b","value":null}]`, `{"time_ms":1000,"open":true,"then":null}`} {
		require.NoError(t, s.Apply(&raft.Log{Index: uint64(i + 1), Data: []byte(text)}).(applyResult).err)
	}
	snap, err := s.Snapshot()
	require.NoError(t, err)
	sink := &memorySink{}
	require.NoError(t, snap.Persist(sink))
	text := sink.String()
	assert.Equal(t, goldenState, text)

	to := newReplicatedState()
	require.NoError(t, to.Restore(io.NopCloser(strings.NewReader(text))))
	restoredSink := &memorySink{}
	snap, err = to.Snapshot()
	require.NoError(t, err)
	require.NoError(t, snap.Persist(restoredSink))
	assert.Equal(t, text, restoredSink.String())
}

// TestGoldenLocalValues checks the names and formats of the values that a node stores beside its log.
func TestGoldenLocalValues(t *testing.T) {
	assert.Equal(t, []string{"disk", "starts", "joiner", "seen", "apart"}, []string{diskIDKey, startCountKey, replacementKey, peerWatermarksKey, divergedKey})
	assertGoldenJSON(t, watermarks{"n1@5f": {Starts: 1, Term: 2, LastTerm: 3, LastIndex: 4}},
		`{"n1@5f":{"starts":1,"term":2,"last_term":3,"last_index":4}}`)
	assertGoldenJSON(t, LastGoodVersion{Revision: 7, Value: json.RawMessage(`{"x":1}`)}, `{"revision":7,"value":{"x":1}}`)
	assert.Equal(t, "_cluster/restored", restoreResultKey)
	assertGoldenJSON(t, RecoveryReport{Node: "n1", ID: "n1@5f", Cluster: "c", Watermark: diskidentity.Watermark{Starts: 1}, Keys: 2, Members: []string{"n1@5f"}, Voters: []string{"n1@5f"},
		LastObserved: map[string]diskidentity.Watermark{"n2@6f": {Term: 1}}, Missing: []string{"m"}, NewCluster: "d"},
		`{"node":"n1","id":"n1@5f","cluster":"c","mark":{"starts":1,"term":0,"last_term":0,"last_index":0},"keys":2,"members":["n1@5f"],"voters":["n1@5f"],`+
			`"seen":{"n2@6f":{"starts":0,"term":1,"last_term":0,"last_index":0}},"missing":["m"],"new_cluster":"d"}`)
}

// TestGoldenAddress checks the format of a member's address in the cluster's configuration.
func TestGoldenAddress(t *testing.T) {
	p := Peer{Name: "n1", Raft: "127.0.0.1:1", Admin: "127.0.0.1:2", Zone: "z"}
	assert.EqualValues(t, "n1@5f|127.0.0.1:1|127.0.0.1:2|z", encodeAddress(p, "n1@5f"))
	assert.Equal(t, p, decodePeer("n1@5f", "n1@5f|127.0.0.1:1|127.0.0.1:2|z"))
	assert.Equal(t, Peer{Name: "n1", Raft: "127.0.0.1:1"}, decodePeer("n1", "127.0.0.1:1"))
}

// TestGoldenHandshake checks the handshake of two nodes, which precedes Raft's protocol on a connection.
func TestGoldenHandshake(t *testing.T) {
	assertGoldenJSON(t, handshakeHeader{From: "n1@5f", To: "n2@6f", Cluster: "c"}, `{"from":"n1@5f","to":"n2@6f","cluster":"c"}`)
	assertGoldenJSON(t, handshakeHeader{From: "n1@5f", To: "n2@6f"}, `{"from":"n1@5f","to":"n2@6f"}`)
	cluster := func() string { return "c" }
	transport, err := listenPeers("127.0.0.1:0", "n2@6f", cluster, func(string) (Peer, bool) { return Peer{}, false })
	require.NoError(t, err)
	t.Cleanup(func() { transport.Close() })
	go func() {
		for {
			if _, err := transport.Accept(); err != nil {
				return
			}
		}
	}()
	for _, exchange := range [][2]string{
		{`oxbowbridge/1 {"from":"n1@5f","to":"n2@6f","cluster":"c"}`, "yes\n"},
		{`oxbowbridge/1 {"from":"n1@5f","to":"n2@6f"}`, "yes\n"},
		{`oxbowbridge/1 {"from":"n1@5f","to":"n2@7f"}`, "no: another is meant: this is n2@6f, not n2@7f\n"},
		{`oxbowbridge/1 {"from":"n1@5f","to":"n2@6f","cluster":"d"}`, "no: another is meant: this is of cluster c, not of d\n"},
		{`oxbowbridge/2 {}`, "no: greeting can't be read\n"},
	} {
		assert.Equal(t, exchange[1], sendAndReadReply(t, transport.Addr().String(), exchange[0]+"\n", len(exchange[1])), exchange[0])
	}
	// Checks the handshake line that a connecting node sends.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	got := make(chan string, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		b := make([]byte, 1024)
		n, _ := c.Read(b)
		got <- string(b[:n])
		c.Write([]byte("yes\n"))
	}()
	c, err := transport.Dial(raft.ServerAddress("n1@5f|"+listener.Addr().String()+"||"), time.Second)
	require.NoError(t, err)
	c.Close()
	assert.Equal(t, `oxbowbridge/1 {"from":"n2@6f","to":"n1@5f","cluster":"c"}`+"\n", <-got)
}

// sendAndReadReply sends text to an address and returns up to size bytes of the reply.
func sendAndReadReply(t *testing.T, addr, text string, size int) string {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = c.Write([]byte(text))
	require.NoError(t, err)
	b := make([]byte, 1024)
	n := 0
	for n < size {
		k, err := c.Read(b[n:])
		if n += k; err != nil {
			break
		}
	}
	return string(b[:n])
}

// TestGoldenConfig checks the JSON keys of the store's section of the configuration file.
func TestGoldenConfig(t *testing.T) {
	peer := Peer{Name: "n1", Raft: "127.0.0.1:1", Admin: "127.0.0.1:2", Zone: "z"}
	c := Config{Node: "n1", Dir: "/d", Peers: []Peer{peer}, Self: &peer, TargetVoters: 3, ReplaceVoterAfterMS: 4, RemoveLearnerAfterMS: 5, RequiredAttesters: 6,
		Backup: BackupConfig{Dir: "/b", Every: "1h", MaxFiles: 7}}
	c.SQL.Driver, c.SQL.DSN = "sqlite", "file:x"
	peerText := `{"name":"n1","raft":"127.0.0.1:1","admin":"127.0.0.1:2","zone":"z"}`
	assertGoldenJSON(t, c, `{"node":"n1","dir":"/d","peers":[`+peerText+`],"self":`+peerText+`,"voters":3,"replace_after_ms":4,"forget_after_ms":5,"vouchers":6,`+
		`"sql":{"driver":"sqlite","dsn":"file:x"},"backup":{"dir":"/b","every":"1h","keep":7}}`)
}

// TestGoldenPeerStatus checks the format of a node's report to its peers and of a join request.
func TestGoldenPeerStatus(t *testing.T) {
	assertGoldenJSON(t, storeapi.PeerStatus{Attestation: diskidentity.Attestation{ID: "n1@5f", Cluster: "c", PreviousClusters: []string{"b"}, Fresh: true, ConfigIndex: 1, Members: []string{"m"}, Voters: []string{"v"},
		LastObserved: &diskidentity.Watermark{Starts: 1, Term: 2, LastTerm: 3, LastIndex: 4}}, State: peerServing, Watermark: diskidentity.Watermark{Starts: 5}, AppliedIndex: 6,
		RaftAddress: "r", AdminAddress: "a", Zone: "z", SupportsLeases: true, Addresses: map[string]string{"m": "x"}},
		`{"id":"n1@5f","cluster":"c","was":["b"],"fresh":true,"config":1,"members":["m"],"voters":["v"],`+
			`"seen":{"starts":1,"term":2,"last_term":3,"last_index":4},"state":"serving","mark":{"starts":5,"term":0,"last_term":0,"last_index":0},"applied":6,`+
			`"raft":"r","admin":"a","zone":"z","leases":true,"addresses":{"m":"x"}}`)
	assert.Equal(t, "waiting", peerWaiting)
	assertGoldenJSON(t, storeapi.JoinRequest{ID: "n1@5f", RaftAddress: "r", AdminAddress: "a", Zone: "z", SupportsLeases: true}, `{"id":"n1@5f","raft":"r","admin":"a","zone":"z","leases":true}`)
}

// TestGoldenMemberStates checks the member states and the node status that operators see.
func TestGoldenMemberStates(t *testing.T) {
	for want, m := range map[string]membership.Member{"lost": {DiskLost: true, Leaving: true}, "leaving": {Leaving: true, ID: "l"}, "leader": {ID: "l", Up: true},
		"up": {ID: "m", Up: true}, "down 2s": {ID: "m", DownFor: 2400 * time.Millisecond}} {
		assert.Equal(t, want, memberStateOf(m, "l").describe(m.DownFor))
	}
	s, err := New(Config{Node: "a", Dir: t.TempDir(), Peers: []Peer{{Name: "a", Raft: "127.0.0.1:1", Admin: "127.0.0.1:2"}}}, nil)
	require.NoError(t, err)
	assertGoldenJSON(t, s.Status(), `{"node":"a","state":"Waiting","leader":"","applied":0,"last":0,"mirrored":0,"watchers":0,"id":"a","waits":"its disk to be opened"}`)
}

// TestGoldenMirror checks the SQL statements and the drivers of the SQL mirror.
func TestGoldenMirror(t *testing.T) {
	assert.Equal(t, []string{
		`CREATE TABLE IF NOT EXISTS oxbowbridge_store (name TEXT PRIMARY KEY, value TEXT, idx BIGINT NOT NULL)`,
		"INSERT INTO oxbowbridge_store (name, value, idx) VALUES ($1, $2, $3)\n" +
			`ON CONFLICT (name) DO UPDATE SET value = excluded.value, idx = excluded.idx WHERE oxbowbridge_store.idx <= excluded.idx`,
		`SELECT name, value, idx FROM oxbowbridge_store ORDER BY name`,
		`CREATE TABLE IF NOT EXISTS oxbowbridge_lease (name TEXT PRIMARY KEY, token BIGINT NOT NULL)`,
		"INSERT INTO oxbowbridge_lease (name, token) VALUES ($1, $2)\n" +
			`ON CONFLICT (name) DO UPDATE SET token = excluded.token WHERE oxbowbridge_lease.token <= excluded.token`,
		`UPDATE oxbowbridge_store SET idx = 0`,
	}, []string{createMirrorTable, upsertRow, selectRows, createFenceTable, advanceFence, resetIndexes})
	assert.Equal(t, map[string]string{"sqlite": "sqlite", "postgres": "pgx"}, sqlDrivers)
}
