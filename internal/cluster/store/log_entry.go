package store

import (
	"bytes"
	"encoding/json"

	"oxbowbridge/internal/cluster/kv"
)

// command sets or deletes one key. A log entry is either a JSON list of commands, which are applied
// atomically, or a kv.Request. Earlier versions read only lists. Writes that a list can express still use
// lists, so that both versions can run in one cluster.
type command struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"` // null deletes the key
}

// deletes reports whether the command deletes its key.
func (c command) deletes() bool { return c.Value == nil || string(c.Value) == "null" }

// decodeLogEntry decodes a log entry of either format.
func decodeLogEntry(data []byte) (*kv.Request, error) {
	if !bytes.HasPrefix(data, []byte("[")) {
		r := &kv.Request{}
		return r, json.Unmarshal(data, r)
	}
	var list []command
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, err
	}
	return requestFromCommands(list), nil
}

// requestFromCommands converts a list of commands to the equivalent request.
func requestFromCommands(list []command) *kv.Request {
	r := &kv.Request{}
	for _, c := range list {
		if c.deletes() {
			r.Then = append(r.Then, kv.Delete(c.Key))
		} else {
			r.Then = append(r.Then, kv.Put(c.Key, c.Value))
		}
	}
	return r
}
