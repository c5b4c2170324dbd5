package lease

// FencingToken is the proof that comes with a lease: its name and the token of the grant.
type FencingToken struct {
	Name  string `json:"name"`
	Token uint64 `json:"token"`
}

// IsHeld reports whether a lease is held under a token now. Writes that depend on a lease are
// carried out only if it does.
func (s *State) IsHeld(name string, token uint64) bool {
	l, ok := s.Leases[name]
	return ok && l.Token == token
}
