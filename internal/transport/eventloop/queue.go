package eventloop

import "oxbowbridge/internal/proxy/memquota"

// queuedBytes reports the bytes that a connection has queued, because its peer does not read them, to a quota. A nil
// queuedBytes reports nothing.
type queuedBytes struct {
	quota  *memquota.Quota
	holder *memquota.Holder
}

// LimitQueue makes the queued bytes of the connection count against a quota that it shares with others. If the quota is
// exceeded, the connections with the most queued bytes are aborted, and onAbort is called for each. It must not block.
// LimitQueue must be called before the connection is registered with its loop, such as by the function that creates its
// Handler.
func (c *Conn) LimitQueue(quota *memquota.Quota, onAbort func()) {
	c.queued = &queuedBytes{quota: quota, holder: quota.NewHolder(func() {
		onAbort()
		c.Abort()
	})}
}

// add adds n, which is negative if bytes were sent, to the queued bytes.
func (q *queuedBytes) add(n int) {
	if q != nil {
		q.holder.Add(n)
	}
}

// reclaim aborts connections if the quota is exceeded.
func (q *queuedBytes) reclaim() {
	if q != nil {
		q.quota.Reclaim()
	}
}

// close removes the connection from the quota.
func (q *queuedBytes) close() {
	if q != nil {
		q.holder.Close()
	}
}
