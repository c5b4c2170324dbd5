package tests

import (
	"bytes"
	"context"
	"database/sql"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/backup"
	"oxbowbridge/internal/cluster/leaseclient"
	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/storage/atomicfile"
	"oxbowbridge/internal/testrig"
)

// acquireLease requests a lease at a node until it gets a definite response.
func (c *cluster) acquireLease(node int, name, body string) (code int, l storeapi.LeaseStatus) {
	testrig.Await(c.T, "a response to a lease request", func() bool {
		var text string
		code, text = c.Request(node, "POST", "/lease/"+name, body)
		l = storeapi.LeaseStatus{}
		return code != 503 && code != 0 && (code >= 400 && code != 409 || json.Unmarshal([]byte(text), &l) == nil)
	})
	return code, l
}

// requestWithRetry repeats a request while the response is 503 or missing.
func (c *cluster) requestWithRetry(node int, method, path, body string, fields ...string) (code int, text string) {
	testrig.Await(c.T, method+" "+path, func() bool {
		req, err := http.NewRequest(method, "http://"+c.Peers[node].Admin+path, strings.NewReader(body))
		if err != nil {
			return false
		}
		for i := 0; i < len(fields); i += 2 {
			req.Header.Add(fields[i], fields[i+1])
		}
		res, err := (&http.Client{Timeout: awaitTimeout}).Do(req)
		if err != nil {
			return false
		}
		defer res.Body.Close()
		b, _ := io.ReadAll(res.Body)
		code, text = res.StatusCode, string(b)
		return code != 503
	})
	return code, text
}

// TestLeases: any node accepts lease requests. Holders, waiters and invalid requests get the specified
// responses, and tokens only grow.
func TestLeases(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	code, first := c.acquireLease(0, "job/a", `{"holder":"h1","ttl_ms":60000}`)
	require.Equal(t, 200, code)
	code, repeated := c.acquireLease(1, "job/a", `{"holder":"h1","ttl_ms":60000}`)
	assert.Equal(t, []any{200, first.Token}, []any{code, repeated.Token}, "repeated request after a lost response")
	code, held := c.acquireLease(2, "job/a", `{"holder":"h2","ttl_ms":60000}`)
	assert.Equal(t, []any{409, "h1", first.Token}, []any{code, held.Holder, held.Token})
	for i := range 3 {
		code, text := c.requestWithRetry(i, "PUT", "/lease/job/a", fmt.Sprintf(`{"token":%d}`, first.Token))
		assert.Equal(t, 200, code, text)
		code, text = c.requestWithRetry(i, "PUT", "/lease/job/a", fmt.Sprintf(`{"token":%d}`, first.Token+9))
		assert.Equal(t, 410, code, text)
		code, text = c.requestWithRetry(i, "GET", "/lease/job/a", "")
		assert.Equal(t, 200, code)
		assert.Contains(t, text, `"holder":"h1"`)
		code, _ = c.requestWithRetry(i, "GET", "/lease/other", "")
		assert.Equal(t, 404, code)
	}
	// Writes that are conditional on the lease.
	fence := fmt.Sprintf("job/a/%d", first.Token)
	code, text := c.requestWithRetry(1, "PUT", "/store/note/f", "1", "Lease", fence)
	assert.Equal(t, 204, code, text)
	code, _ = c.requestWithRetry(2, "PUT", "/store/note/f", "2", "Lease", fmt.Sprintf("job/a/%d", first.Token-1))
	assert.Equal(t, 412, code)
	code, _ = c.requestWithRetry(0, "DELETE", "/store/note/f", "", "Lease", "job/b/1")
	assert.Equal(t, 412, code)
	txn := `{"then":[{"do":"put","key":"note/f","value":3}]}`
	code, _ = c.requestWithRetry(0, "POST", "/txn", txn, "Lease", fence, "Lease", "job/b/1")
	assert.Equal(t, 412, code)
	code, _ = c.requestWithRetry(0, "POST", "/txn", txn, "Lease", fence)
	assert.Equal(t, 200, code)
	code, _ = c.requestWithRetry(0, "PUT", "/store/note/f", "4", "Lease", "nonsense")
	assert.Equal(t, 400, code)
	c.WaitForValue(2, "note/f", "3")
	// Waiters are ordered by priority, then by arrival. Each waits at another node.
	type grantResult struct {
		holder string
		code   int
		token  uint64
	}
	answers := make(chan grantResult, 3)
	for i, w := range []string{"w0", "w1", "w2"} {
		go func() {
			code, l := c.acquireLease(i, "job/a", fmt.Sprintf(`{"holder":%q,"ttl_ms":60000,"wait_ms":20000,"priority":%d}`, w, map[string]int{"w2": 1}[w]))
			answers <- grantResult{w, code, l.Token}
		}()
		await(t, w+" in the queue", func() bool {
			_, text := c.Request(0, "GET", "/lease/job/a", "")
			return strings.Contains(text, `"holder":"`+w+`"`)
		})
	}
	last := first.Token
	for _, want := range []string{"w2", "w1", "w0"} { // w1 gets the lease by a handover
		path := fmt.Sprintf("/lease/job/a?token=%d", last)
		if want == "w1" {
			code, _ = c.requestWithRetry(0, "DELETE", path+"&to=nobody", "")
			assert.Equal(t, 409, code)
			path += "&to=w1"
		}
		code, text := c.requestWithRetry(2, "DELETE", path, "")
		assert.Equal(t, 204, code, text)
		a := <-answers
		assert.Equal(t, []any{want, 200}, []any{a.holder, a.code})
		assert.Greater(t, a.token, last)
		last = a.token
	}
	code, _ = c.requestWithRetry(0, "DELETE", fmt.Sprintf("/lease/job/a?token=%d", first.Token), "")
	assert.Equal(t, 410, code)
	// A waiter that disconnects leaves the queue.
	httpClient := &http.Client{Timeout: 500 * time.Millisecond}
	_, err := httpClient.Post("http://"+c.Peers[1].Admin+"/lease/job/a", "", strings.NewReader(`{"holder":"gone","ttl_ms":60000,"wait_ms":20000}`))
	require.Error(t, err)
	await(t, "an empty queue", func() bool {
		code, text := c.Request(0, "GET", "/lease/job/a", "")
		return code == 200 && !strings.Contains(text, "gone")
	})
	// Invalid requests.
	for _, bad := range [][2]string{{"job/a", `{"holder":"","ttl_ms":5000}`}, {"job/a", `{"holder":"h","ttl_ms":1}`}, {"a%20b", `{"holder":"h","ttl_ms":5000}`},
		{"job/a", `{"holder":"h","ttl_ms":5000,"wait_ms":-1}`}, {"job/a", `{"holder":"h","ttl_ms":5000,"wait_ms":99999999}`}, {"job/a", `{"nonsense":1}`}} {
		code, text := c.requestWithRetry(1, "POST", "/lease/"+bad[0], bad[1])
		assert.Equal(t, 400, code, "%v: %s", bad, text)
	}
	for _, path := range []string{"/lease/job/a", "/lease/job/a?token=x", "/lease/job/a?token=1&revoke=1"} {
		code, _ = c.requestWithRetry(1, "DELETE", path, "")
		assert.Equal(t, 400, code, path)
	}
	code, _ = c.requestWithRetry(1, "POST", "/txn", `{"leases":[{"do":"acquire","name":"x","holder":"y","ttl_ms":5000}],"then":[]}`)
	assert.Equal(t, 400, code)
}

// TestLeaseExpires: a lease without keep-alives expires, but not before its TTL, also when the leader is lost.
// A lease outlasts a restart of all nodes.
func TestLeaseExpires(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	const ttl = 3 * time.Second
	requestLease := func(node int, holder string, wait time.Duration) (int, storeapi.LeaseStatus) {
		return c.acquireLease(node, "job", fmt.Sprintf(`{"holder":%q,"ttl_ms":%d,"wait_ms":%d}`, holder, ttl.Milliseconds(), wait.Milliseconds()))
	}
	code, l := requestLease(0, "h0", 0)
	require.Equal(t, 200, code)
	for n, fault := range []func(){func() {}, func() { i := c.WaitForLeader(); c.Kill(i); c.Start(i) }, func() { c.KillAll(); c.Start(0); c.Start(1); c.Start(2) }} {
		var keptAliveAt time.Time
		await(t, "a keep-alive", func() bool {
			keptAliveAt = time.Now()
			code, _ := c.Request(n, "PUT", "/lease/job", fmt.Sprintf(`{"token":%d}`, l.Token))
			if code == 410 { // the machine was slow: the lease has expired
				_, l = requestLease(n, "again", 15*time.Second)
			}
			return code == 200
		})
		fault()
		code, newHolder := requestLease(n, fmt.Sprint("next", n), 15*time.Second)
		require.Equal(t, 200, code)
		assert.GreaterOrEqual(t, time.Since(keptAliveAt), ttl, "fault %d", n)
		assert.Greater(t, newHolder.Token, l.Token)
		l = newHolder
	}
	// A revoked lease cannot be kept alive, and nobody else gets it before its TTL is over.
	code, l = c.acquireLease(0, "long", `{"holder":"h","ttl_ms":600000}`)
	require.Equal(t, 200, code)
	code, text := c.requestWithRetry(0, "DELETE", "/lease/long?revoke=1", "")
	assert.Equal(t, 204, code, text)
	code, _ = c.requestWithRetry(0, "PUT", "/lease/long", fmt.Sprintf(`{"token":%d}`, l.Token))
	assert.Equal(t, 410, code)
	code, _ = c.acquireLease(0, "long", `{"holder":"h","ttl_ms":600000}`)
	assert.Equal(t, 409, code)
}

// TestTokensGrow: tokens keep growing after a restore into another cluster, and after a cluster is recovered
// from one node.
func TestTokensGrow(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	_, before := c.acquireLease(0, "job", `{"holder":"h","ttl_ms":500}`)
	_, text := c.requestWithRetry(0, "GET", "/backup", "")
	later := before
	for i := range 5 { // acquired after the backup
		_, later = c.acquireLease(0, fmt.Sprint("job", i), `{"holder":"h","ttl_ms":500}`)
	}
	other := newRunningCluster(t, nil)
	code, answer := other.requestWithRetry(0, "POST", "/restore", text)
	require.Equal(t, 200, code, answer)
	code, l := other.acquireLease(1, "job", `{"holder":"h","ttl_ms":500}`)
	assert.Equal(t, 200, code, "leases are not restored")
	assert.Greater(t, l.Token, later.Token)
	c.KillAll()
	path := c.nodes[1].configPath
	out, errs, code := runCLI(t, "", "store", "recover", path, "--json")
	require.Zero(t, code, errs)
	var left struct{ Cluster string }
	require.NoError(t, json.Unmarshal([]byte(out), &left))
	_, errs, code = runCLI(t, "", "store", "recover", path, "--cluster", left.Cluster)
	require.Zero(t, code, errs)
	c.Start(1)
	c.WaitForLeader()
	code, l = c.acquireLease(1, "new", `{"holder":"h","ttl_ms":500}`)
	require.Equal(t, 200, code)
	assert.Greater(t, l.Token, later.Token+maxLostTokens)
}

const maxLostTokens = 1000 // tokens that a lost majority may have granted

// TestLeaseCommands covers the lease commands of the command line, and that a command is stopped in time when
// its lease is lost.
func TestLeaseCommands(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	all := "--nodes=" + strings.Join(c.client().Nodes, ",")
	out, errs, code := runCLI(t, "", "lease", "acquire", "job", "--holder=h1", "--ttl=60s", "--json", all)
	require.Zero(t, code, errs)
	var l storeapi.LeaseStatus
	require.NoError(t, json.Unmarshal([]byte(out), &l))
	_, errs, code = runCLI(t, "", "lease", "acquire", "job", all)
	assert.Equal(t, 1, code)
	assert.Contains(t, errs, "lease is held by h1")
	_, errs, code = runCLI(t, "", "lease", "run", "job", "--wait=300ms", all, "--", "true")
	assert.Equal(t, 1, code)
	assert.Contains(t, errs, "lease is held")
	out, _, code = runCLI(t, "", "lease", "list", all)
	assert.Zero(t, code)
	assert.Contains(t, out, "h1")
	assert.Contains(t, out, "fleet/sessions")
	out, _, code = runCLI(t, "", "lease", "show", "job", all)
	assert.Zero(t, code)
	assert.Contains(t, out, fmt.Sprint(l.Token))
	_, errs, code = runCLI(t, "", "lease", "release", "job", fmt.Sprint("--token=", l.Token), all)
	assert.Zero(t, code, errs)
	out, errs, code = runCLI(t, "", "lease", "run", "job", all, "--", "sh", "-c", "echo token $OXBOWBRIDGE_LEASE_TOKEN; exit 7")
	assert.Equal(t, 7, code, errs)
	assert.Regexp(t, `^token [1-9]\d+\n`, out)
	for _, bad := range [][]string{{"run", "job", "--grace=9s", "--", "true"}, {"run", "job", "--", "no-such-program"}, {"acquire", "a b"}, {"release", "job"}, {"show"}} {
		_, _, code = runCLI(t, "", append(append([]string{"lease"}, bad...), all)...)
		assert.Equal(t, 2, code, bad)
	}
	// The lease is revoked while the command runs. The command gets SIGTERM at the next keep-alive.
	type result struct {
		out, errs string
		code      int
	}
	ended := make(chan result, 1)
	go func() {
		out, errs, code := runCLI(t, "", "lease", "run", "long", "--ttl=2s", all, "--", "sh", "-c", "trap 'echo told; exit 5' TERM; while :; do sleep 0.05; done")
		ended <- result{out, errs, code}
	}()
	await(t, "the lease to be held", func() bool { code, _ := c.Request(0, "GET", "/lease/long", ""); return code == 200 })
	time.Sleep(200 * time.Millisecond)
	_, errs, code = runCLI(t, "", "lease", "revoke", "long", all)
	assert.Zero(t, code, errs)
	r := <-ended
	assert.Equal(t, 5, r.code, r.errs)
	assert.Equal(t, "told\n", r.out)
	assert.Contains(t, r.errs, "lease is lost")
}

// TestFleetTasks: one of three nodes writes the SQL mirror and one takes backups; another takes over when it is
// lost. The database refuses writes by a former lease holder.
func TestFleetTasks(t *testing.T) {
	t.Parallel()
	c := newStoppedCluster(t, 3, 3)
	path, dir := filepath.Join(t.TempDir(), "record.db"), filepath.Join(t.TempDir(), "backups")
	c.StoreFields["sql"] = object{"driver": "sqlite", "dsn": "file:" + path + "?_pragma=busy_timeout(5000)"}
	c.StoreFields["backup"] = object{"dir": dir, "every": "1s", "keep": 3}
	c.Bootstrap()
	db, err := sql.Open("sqlite", "file:"+path+"?_pragma=busy_timeout(5000)")
	require.NoError(t, err)
	defer db.Close()
	holder := func(name string) (node int, token uint64) {
		await(t, "a lease holder of "+name, func() bool {
			var l storeapi.LeaseStatus
			if !c.GetJSON(c.WaitForLeader(), "/lease/"+name, &l) {
				return false
			}
			node, token = int(l.Holder[1]-'0'), l.Token
			return true
		})
		return node, token
	}
	// A backup is written under a temporary name, which for a moment exists beside the final name.
	files := func() (backups, temporary []string) {
		list, _ := os.ReadDir(dir)
		for _, f := range list {
			if strings.Contains(f.Name(), atomicfile.TemporaryInfix) {
				temporary = append(temporary, f.Name())
			} else {
				backups = append(backups, f.Name())
			}
		}
		return backups, temporary
	}
	backups := func() []string {
		names, _ := files()
		return names
	}
	c.Put(0, "note/1", "1")
	await(t, "the key in the SQL mirror", func() bool { return isMirrored(db, "note/1") })
	await(t, "three backups", func() bool { return len(backups()) >= 3 })
	var previousMS, currentMS int64
	for _, name := range backups() {
		_, err := fmt.Sscanf(name, "oxbowbridge-%d-", &currentMS)
		require.NoError(t, err)
		assert.GreaterOrEqual(t, currentMS-previousMS, int64(999), "two backups in one period: %s", name)
		previousMS = currentMS
	}
	at, token := holder("fleet/mirror")
	// The holder is paused and another node takes over. The lock ensures that the holder is not paused within
	// an SQLite transaction, whose lock would remain (see TestRecordIsLocked).
	withDatabaseLocked(t, db, "EXCLUSIVE", func() { c.Pause(at) })
	next := (at + 1) % 3
	await(t, "another lease holder", func() bool {
		var l storeapi.LeaseStatus
		return c.GetJSON(next, "/lease/fleet/mirror", &l) && l.Token > token
	})
	c.Put(next, "note/2", "2")
	await(t, "the key in the SQL mirror, by another node", func() bool { return isMirrored(db, "note/2") })
	c.Resume(at)
	c.WaitForValue(at, "note/2", "2")
	newest := backups()
	at, _ = holder("fleet/backup")
	c.Kill(at)
	await(t, "backups by another node", func() bool {
		now := backups()
		return len(now) > 0 && now[len(now)-1] > newest[len(newest)-1]
	})
	c.Start(at)
	finished, temporary := files()
	assert.LessOrEqual(t, len(finished), 4, "more backups than the retention limit and one new one")
	assert.LessOrEqual(t, len(temporary), 1, "more than one unfinished backup")
	for _, name := range finished {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if os.IsNotExist(err) {
			continue // deleted by the retention limit meanwhile
		}
		require.NoError(t, err)
		_, _, err = backup.Read(bytes.NewReader(text))
		assert.NoError(t, err, name)
	}
	// A higher token in the database, as from another cluster, stops all writes, and the node reports why.
	_, err = db.Exec(`UPDATE oxbowbridge_lease SET token = 9000000000000000`)
	require.NoError(t, err)
	c.Put(0, "note/3", "3")
	await(t, "a write rejected by the database", func() bool {
		for i := range 3 {
			var st storeapi.Status
			if c.GetJSON(i, "/status", &st) && strings.Contains(st.SQLError, "higher token") {
				return true
			}
		}
		return false
	})
	assert.False(t, isMirrored(db, "note/3"))
}

// isMirrored reports whether the SQL mirror has a key.
func isMirrored(db *sql.DB, key string) bool {
	var n int
	return db.QueryRow(`SELECT count(*) FROM oxbowbridge_store WHERE name = $1`, key).Scan(&n) == nil && n == 1
}

// withDatabaseLocked runs f while a transaction of the test locks the database.
func withDatabaseLocked(t *testing.T, db *sql.DB, lock string, f func()) {
	t.Helper()
	conn, err := db.Conn(t.Context())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.ExecContext(t.Context(), "BEGIN "+lock)
	require.NoError(t, err)
	defer func() {
		_, err := conn.ExecContext(t.Context(), "ROLLBACK")
		require.NoError(t, err)
	}()
	f()
}

// TestRecordIsLocked: another program's open transaction locks the SQL mirror's database. The store accepts
// writes, the node reports why the mirror lags, and the mirror catches up afterwards.
func TestRecordIsLocked(t *testing.T) {
	t.Parallel()
	c := newStoppedCluster(t, 1, 1)
	dsn := "file:" + filepath.Join(t.TempDir(), "record.db") + "?_pragma=busy_timeout(%d)"
	c.StoreFields["sql"] = object{"driver": "sqlite", "dsn": fmt.Sprintf(dsn, 50)}
	c.Bootstrap()
	db, err := sql.Open("sqlite", fmt.Sprintf(dsn, 5000))
	require.NoError(t, err)
	defer db.Close()
	reportsSQLError := func(text string) func() bool {
		return func() bool {
			var st storeapi.Status
			return c.GetJSON(0, "/status", &st) && strings.Contains(st.SQLError, text) && (text != "") == (st.SQLError != "")
		}
	}
	c.Put(0, "note/1", "1")
	await(t, "the key in the SQL mirror", func() bool { return isMirrored(db, "note/1") })
	withDatabaseLocked(t, db, "IMMEDIATE", func() {
		c.Put(0, "note/2", "2")
		c.WaitForValue(0, "note/2", "2")
		await(t, "the reported reason", reportsSQLError("locked"))
		assert.False(t, isMirrored(db, "note/2"))
	})
	await(t, "the SQL mirror to catch up", func() bool { return isMirrored(db, "note/2") })
	await(t, "the reported reason to be cleared", reportsSQLError(""))
}

// TestManagerEndsLeaseInTime: the context of a lease whose holder is cut off must end before another holder can
// get the lease. One keep-alive request covers many leases.
func TestManagerEndsLeaseInTime(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, nil)
	var links []*testrig.Link
	var nodes []string
	for _, p := range c.Peers {
		l, err := testrig.NewLink(p.Admin)
		require.NoError(t, err)
		defer l.Close()
		links, nodes = append(links, l), append(nodes, l.Addr)
	}
	manager := leaseclient.New(nodes, "cut-off")
	defer manager.Close()
	const ttl = 2 * time.Second
	var held []*leaseclient.Lease
	for i := range 20 {
		h, err := manager.Acquire(t.Context(), leaseclient.AcquireOptions{Name: fmt.Sprint("job/", i), TTL: ttl, Wait: true})
		require.NoError(t, err)
		held = append(held, h)
	}
	time.Sleep(2 * ttl)
	for _, h := range held {
		require.NoError(t, h.Context().Err(), "lease is kept alive")
	}
	_, err := manager.Acquire(t.Context(), leaseclient.AcquireOptions{Name: "job/0", TTL: ttl})
	assert.ErrorIs(t, err, leaseclient.ErrAlreadyHeld)
	for _, l := range links {
		l.SetMode(testrig.LinkMode{StallRequests: true, StallResponses: true})
	}
	ends := make(chan time.Time, 1)
	go func() { <-held[0].Context().Done(); ends <- time.Now() }()
	code, _ := c.acquireLease(0, "job/0", fmt.Sprintf(`{"holder":"next","ttl_ms":%d,"wait_ms":15000}`, ttl.Milliseconds()))
	grantedAt := time.Now()
	require.Equal(t, 200, code)
	assert.True(t, (<-ends).Before(grantedAt))
	assert.ErrorIs(t, context.Cause(held[0].Context()), leaseclient.ErrExpired)
}
