package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/raftstorage"
	"oxbowbridge/internal/cluster/storeapi"
)

var errNoServingPeer = errors.New("no node of the cluster serves")

// clearReports discards all reports. It is called when the storage folder is opened, because the reports
// were made about a previous disk or incarnation of this node.
func (p *peerPoller) clearReports() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.reports)
}

// lastReport returns a node's last report, and whether it is recent.
func (p *peerPoller) lastReport(name string) (report peerReport, recent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	report = p.reports[name]
	return report, report.recent()
}

// checksums returns the recent state checksums that the other voters of a configuration have reported, and
// the number of voters.
func (p *peerPoller) checksums(conf raftstorage.Configuration, self string) (list []kv.ChecksumHistory, voters int) {
	for _, server := range conf.Servers {
		id := string(server.ID)
		if server.Suffrage != raft.Voter {
			continue
		}
		voters++
		report, recent := p.lastReport(diskidentity.MemberName(id))
		if id != self && recent && report.ID == id {
			list = append(list, report.Checksums)
		}
	}
	return list, voters
}

// peerAttestations are the peers' attestations of disks at one time.
type peerAttestations struct {
	recent    map[string]diskidentity.Attestation // by node name, without nodes of earlier versions
	allPolled bool                                // whether each node was polled at least once, with a report or an error
	changed   <-chan struct{}                     // closed when the next poll result is recorded
}

// attestations returns the attestations in recent reports.
func (p *peerPoller) attestations() peerAttestations {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := peerAttestations{recent: map[string]diskidentity.Attestation{}, allPolled: true, changed: p.changed}
	for name := range p.targets {
		if r := p.reports[name]; r.receivedAt.IsZero() && r.err == nil {
			out.allPolled = false
		}
	}
	for name, r := range p.reports {
		if r.recent() && !r.legacy {
			out.recent[name] = r.Attestation
		}
	}
	return out
}

// servingAddresses returns the admin addresses of the peers that serve.
func (p *peerPoller) servingAddresses() (list []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, r := range p.reports {
		if r.State == peerServing && r.recent() {
			list = append(list, p.targets[name].Admin)
		}
	}
	return list
}

// requestJoin requests membership for this node from the serving peers, one after the other until one
// accepts.
func (p *peerPoller) requestJoin(ctx context.Context, inc *incarnation) error {
	self := p.store.self
	body, err := json.Marshal(storeapi.JoinRequest{ID: inc.memberID, RaftAddress: self.Raft, AdminAddress: self.Admin, Zone: self.Zone, SupportsLeases: true})
	if err != nil {
		return err
	}
	var rejections []string
	for _, addr := range p.servingAddresses() {
		err := p.postJoin(ctx, addr, body)
		if err == nil {
			return nil
		}
		rejections = append(rejections, err.Error())
	}
	if len(rejections) == 0 {
		return errNoServingPeer
	}
	return fmt.Errorf("not taken in: %s", strings.Join(rejections, "; "))
}

func (p *peerPoller) postJoin(ctx context.Context, addr string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, storeapi.CommitTimeout)
	defer cancel()
	return p.client.WithCommitTimeout().CallNode(ctx, addr, http.MethodPost, "/members", body, nil)
}
