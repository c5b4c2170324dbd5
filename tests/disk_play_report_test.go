package tests

import (
	"encoding/json"
	"regexp"
	"slices"
	"time"

	"oxbowbridge/internal/cluster/storeapi"
)

// logTimeOfDay is the layout of the time of day in the nodes' logs.
const logTimeOfDay = "15:04:05.000Z"

// memberIDPattern matches the member IDs in a waiting reason.
var memberIDPattern = regexp.MustCompile(`s[0-9]+@[0-9a-f]+`)

// logStep logs a step with its time, for comparison with the nodes' logs.
func (p *diskScenario) logStep(verb string, node int) {
	p.t.Logf("%s incident %d: %s s%d", time.Now().UTC().Format(logTimeOfDay), p.next+1, verb, node)
}

// reportFailure logs how to repeat the scenario, its incidents, and the status of each node.
func (p *diskScenario) reportFailure() {
	nodes := len(p.nodeIndexes)
	p.t.Logf("repeat with: -run '^TestDiskPlays$/^%d-nodes-seed-%d$' -seed %d -disk-plays 1", nodes, p.seed, p.seed)
	for n, incident := range p.incidents[:min(p.next+1, len(p.incidents))] {
		p.t.Logf("incident %d of %d nodes, seed %d: %s", n+1, nodes, p.seed, incident)
	}
	var statuses []storeapi.Status
	for _, node := range p.nodeIndexes {
		code, text := p.Request(node, "GET", "/status", "")
		p.t.Logf("seed %d: status of s%d: %d %s", p.seed, node, code, text)
		var status storeapi.Status
		if code == 200 && json.Unmarshal([]byte(text), &status) == nil {
			statuses = append(statuses, status)
		}
	}
	if len(statuses) == nodes { // otherwise a node that did not answer may have the disk
		p.reportRemovedDisks(statuses)
	}
}

// reportRemovedDisks logs the nodes that wait for an attestation by a disk that no node has any more.
func (p *diskScenario) reportRemovedDisks(statuses []storeapi.Status) {
	var present []string
	for _, status := range statuses {
		present = append(present, status.ID)
	}
	for _, status := range statuses {
		for _, id := range memberIDPattern.FindAllString(status.WaitingReason, -1) {
			if !slices.Contains(present, id) {
				p.t.Logf("seed %d of %d nodes: %s waits forever: no node has the disk %s", p.seed, len(statuses), status.ID, id)
			}
		}
	}
}
