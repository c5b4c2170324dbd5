package testrig

// direction is an ordered pair of nodes: connections are opened from one node to the other.
type direction struct{ from, to int }

// linkPair holds the links from one node to the Raft port and to the admin port of another node.
type linkPair struct{ raft, admin *Link }

func (p linkPair) setMode(m LinkMode) {
	p.raft.SetMode(m)
	p.admin.SetMode(m)
}

// AddLinks inserts links between all pairs of founders, separate ones for each direction. It must be
// called before the founders are started.
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
		c.T.Fatalf("start link: %v", err)
	}
	c.T.Cleanup(l.Close)
	return l
}

// SetNodeLinks sets the mode of all links from a node, and the mode of all links to it.
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

// SetLinksOneWay sets the mode of the links from one node to another.
func (c *Cluster) SetLinksOneWay(from, to int, m LinkMode) {
	c.links[direction{from, to}].setMode(m)
}

// SetLinksBetween sets the mode of the links between two nodes in both directions.
func (c *Cluster) SetLinksBetween(a, b int, m LinkMode) {
	c.SetLinksOneWay(a, b, m)
	c.SetLinksOneWay(b, a, m)
}

// HealLinks resets all links to normal forwarding.
func (c *Cluster) HealLinks() {
	for _, pair := range c.links {
		pair.setMode(LinkMode{})
	}
}
