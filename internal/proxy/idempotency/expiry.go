package idempotency

// expiryHeap implements heap.Interface. The entry that expires next is first.
type expiryHeap []*Entry

// Len is part of heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry < h[j].expiry }

// Swap is part of heap.Interface.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*Entry)) }

// Pop is part of heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
