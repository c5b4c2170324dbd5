package testrig

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
)

// Request sends a request to a node's admin port. The code is 0 if there was no
// response; the text is the error then.
func (c *Cluster) Request(node int, method, path, body string) (code int, text string) {
	req, err := http.NewRequest(method, "http://"+c.Peers[node].Admin+path, strings.NewReader(body))
	if err != nil {
		c.T.Fatalf("request: %v", err)
	}
	res, err := (&http.Client{Timeout: AwaitTimeout}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return res.StatusCode, strings.TrimSpace(string(b))
}

// GetJSON reads a node's JSON response, and reports whether it was a success.
func (c *Cluster) GetJSON(node int, path string, to any) bool {
	code, text := c.Request(node, http.MethodGet, path, "")
	return code == http.StatusOK && json.Unmarshal([]byte(text), to) == nil
}

// WaitForLeader waits until a node reports that it is the leader, and returns it.
// Excluded nodes don't count.
func (c *Cluster) WaitForLeader(excluded ...int) (leader int) {
	c.T.Helper()
	Await(c.T, "a leader", func() bool {
		for i := range c.Peers {
			var status struct{ State string }
			if c.nodes[i] != nil && !slices.Contains(excluded, i) && c.GetJSON(i, "/status", &status) && status.State == "Leader" {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// Put writes a key at a node until the write is acknowledged.
func (c *Cluster) Put(node int, key, value string) {
	c.T.Helper()
	Await(c.T, "a write", func() bool {
		code, _ := c.Request(node, http.MethodPut, "/store/"+key, value)
		return code == http.StatusNoContent
	})
}

// WaitForValue waits until a node responds with a value.
func (c *Cluster) WaitForValue(node int, key, value string) {
	c.T.Helper()
	Await(c.T, fmt.Sprintf("%s=%s on node %d", key, value, node), func() bool {
		code, text := c.Request(node, http.MethodGet, "/store/"+key, "")
		return code == http.StatusOK && text == value
	})
}

// serviceKeyPrefix begins the keys that running services write all the time.
const serviceKeyPrefix = "state/"

// WaitForEqualData waits until nodes have the same values: a write of unknown outcome may
// still arrive.
func (c *Cluster) WaitForEqualData(nodes ...int) {
	c.T.Helper()
	Await(c.T, "equal nodes", func() bool {
		first := ""
		for n, node := range nodes {
			values, ok := c.values(node)
			if !ok {
				return false
			}
			if n == 0 {
				first = values
			}
			if values != first {
				return false
			}
		}
		return true
	})
}

// values are a node's values as JSON, without those that services write.
func (c *Cluster) values(node int) (text string, ok bool) {
	var all map[string]json.RawMessage
	if !c.GetJSON(node, "/store", &all) {
		return "", false
	}
	for key := range all {
		if strings.HasPrefix(key, serviceKeyPrefix) {
			delete(all, key)
		}
	}
	b, _ := json.Marshal(all)
	return string(b), true
}

// Member is a row of the members' table, as the admin port has it.
type Member struct{ Name, ID, Role, State string }

// Members are the members that a node knows, by id.
func (c *Cluster) Members(node int) map[string]Member {
	var response struct{ Members []Member }
	members := map[string]Member{}
	if c.GetJSON(node, "/members", &response) {
		for _, m := range response.Members {
			members[m.ID] = m
		}
	}
	return members
}

// HasVoters reports whether these nodes are voters with the disks that they have now, and no other
// disk is a member.
func (c *Cluster) HasVoters(voters ...int) bool {
	members := c.Members(voters[0])
	for _, node := range voters {
		var self struct{ ID string }
		if !c.GetJSON(node, "/self", &self) {
			return false
		}
		m := members[self.ID]
		if m.Role != "voter" || m.State != "up" && m.State != "leader" {
			return false
		}
	}
	return len(members) == len(voters)
}

// WaitForVoters waits until HasVoters.
func (c *Cluster) WaitForVoters(voters ...int) {
	c.T.Helper()
	Await(c.T, fmt.Sprintf("votes of %v, and no others", voters), func() bool { return c.HasVoters(voters...) })
}
