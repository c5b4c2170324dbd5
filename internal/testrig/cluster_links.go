package testrig

// direction is one direction of calls between two nodes.
type direction struct{ from, to int }

// linkPair are the links from one node to the ports of another.
type linkPair struct{ raft, admin *Link }

func (p linkPair) setMode(m LinkMode) {
	p.raft.SetMode(m)
	p.admin.SetMode(m)
}

// AddLinks puts links between any two of the founders, for each direction of calls. It
// must be called before they start.
func (c *Cluster) AddLinks() {
	c.links = map[direction]linkPair{}
	for from := range c.Founders {
		for to := range c.Founders {
			if from != to {
				c.links[direction{from, to}] = linkPair{
					raft:  c.newLink(c.Peers[to].Raft),
					admin: c.newLink(c.Peers[to].Admin),
				}
			}
		}
	}
}

func (c *Cluster) newLink(addr string) *Link {
	l, err := NewLink(addr)
	if err != nil {
		c.T.Fatalf("link: %v", err)
	}
	c.T.Cleanup(l.Close)
	return l
}

// SetNodeLinks sets the links from a node, and those to it.
func (c *Cluster) SetNodeLinks(node int, from, to LinkMode) {
	for d, pair := range c.links {
		switch node {
		case d.from:
			pair.setMode(from)
		case d.to:
			pair.setMode(to)
		}
	}
}

// SetLinksOneWay sets the links from one node to another.
func (c *Cluster) SetLinksOneWay(from, to int, m LinkMode) {
	c.links[direction{from, to}].setMode(m)
}

// SetLinksBetween sets the links between two nodes, both ways.
func (c *Cluster) SetLinksBetween(a, b int, m LinkMode) {
	c.SetLinksOneWay(a, b, m)
	c.SetLinksOneWay(b, a, m)
}

// HealLinks heals all links.
func (c *Cluster) HealLinks() {
	for _, pair := range c.links {
		pair.setMode(LinkMode{})
	}
}
