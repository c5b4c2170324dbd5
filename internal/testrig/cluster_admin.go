package testrig

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
)

// Request sends a request to a node's admin port and returns the status code and the body of the
// response. If there is no response, the code is 0 and the text is the error.
func (c *Cluster) Request(node int, method, path, body string) (code int, text string) {
	req, err := http.NewRequest(method, "http://"+c.Peers[node].Admin+path, strings.NewReader(body))
	if err != nil {
		c.T.Fatalf("create admin request: %v", err)
	}
	res, err := (&http.Client{Timeout: AwaitTimeout}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return res.StatusCode, strings.TrimSpace(string(b))
}

// GetJSON sends a GET request to a node's admin port and decodes the JSON response into the value that
// to points to. It reports whether both succeeded.
func (c *Cluster) GetJSON(node int, path string, to any) bool {
	code, text := c.Request(node, http.MethodGet, path, "")
	return code == http.StatusOK && json.Unmarshal([]byte(text), to) == nil
}

// WaitForLeader waits until a node reports that it is the leader, and returns this node. It does not
// query excluded nodes.
func (c *Cluster) WaitForLeader(excluded ...int) (leader int) {
	c.T.Helper()
	Await(c.T, "a node reports that it is the leader", func() bool {
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

// Put sends a write of a key to a node and retries it until the node acknowledges it.
func (c *Cluster) Put(node int, key, value string) {
	c.T.Helper()
	Await(c.T, "a write is acknowledged", func() bool {
		code, _ := c.Request(node, http.MethodPut, "/store/"+key, value)
		return code == http.StatusNoContent
	})
}

// WaitForValue waits until a read of a key at a node returns a value.
func (c *Cluster) WaitForValue(node int, key, value string) {
	c.T.Helper()
	Await(c.T, fmt.Sprintf("%s=%s on node %d", key, value, node), func() bool {
		code, text := c.Request(node, http.MethodGet, "/store/"+key, "")
		return code == http.StatusOK && text == value
	})
}

// serviceKeyPrefix is the prefix of the keys that the running processes write continuously.
const serviceKeyPrefix = "state/"

// WaitForEqualData waits until the nodes have the same keys and values. They may differ for some time because
// a write of unknown outcome may take effect later.
func (c *Cluster) WaitForEqualData(nodes ...int) {
	c.T.Helper()
	Await(c.T, "all nodes have the same keys and values", func() bool {
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

// values returns a node's keys and values as JSON, without the keys that begin with serviceKeyPrefix.
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

// Member is a cluster member as the admin port lists it.
type Member struct{ Name, ID, Role, State string }

// Members returns the members that a node knows, by disk id. It is empty if the node doesn't respond.
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

// HasVoters reports whether the members are exactly the current disks of these nodes, and all of them
// are reachable voters.
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

// WaitForVoters waits until HasVoters reports true.
func (c *Cluster) WaitForVoters(voters ...int) {
	c.T.Helper()
	Await(c.T, fmt.Sprintf("nodes %v are voters, and there are no other members", voters), func() bool { return c.HasVoters(voters...) })
}
