package lease

// FencingToken identifies one grant of a lease. Writes that depend on the lease carry it.
type FencingToken struct {
	Name  string `json:"name"`
	Token uint64 `json:"token"`
}

// IsHeld reports whether a lease is held under a token. The store rejects a write with a fencing token
// for which it is not.
func (s *State) IsHeld(name string, token uint64) bool {
	l, ok := s.Leases[name]
	return ok && l.Token == token
}
