package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestFencingToken guards against a late write of a holder that was suspended after its MayAct check: a resource that
// stores the highest token rejects it.
func TestFencingToken(t *testing.T) {
	s, f := NewState(0), &fencedResource{}
	first, err := s.Acquire(modelLeaseName, "h1", 500, false, 0)
	assert.NoError(t, err)
	h := &HolderState{TTL: modelTTL}
	h.RecordGrant(first.Token, 0)
	assert.True(t, h.MayAct(399*time.Millisecond)) // the holder checks, and is then suspended beyond its deadline
	assert.False(t, h.MayAct(400*time.Millisecond))
	_, granted, err := s.End(modelLeaseName, first.Token)
	assert.NoError(t, err)
	assert.False(t, granted)
	second, err := s.Acquire(modelLeaseName, "h2", 500, false, 0)
	assert.NoError(t, err)
	assert.True(t, f.Admit(second.Token))
	assert.False(t, f.Admit(first.Token), "the late write of the first holder")
	assert.False(t, s.IsHeld(modelLeaseName, first.Token))
	assert.True(t, s.IsHeld(modelLeaseName, second.Token))
}

// TestWaitersQueue checks that waiters are served one at a time, by priority and then by order of arrival, that tokens
// increase, also above the floor of a restored state, and that the limits apply.
func TestWaitersQueue(t *testing.T) {
	s := NewState(41)
	l, err := s.Acquire(modelLeaseName, "a", 500, false, 0)
	assert.NoError(t, err)
	assert.EqualValues(t, 42, l.Token)
	for i, h := range []string{"b", "c", "d", "b"} {
		_, err := s.Acquire(modelLeaseName, h, 500, true, map[int]int{2: 1}[i])
		assert.ErrorIs(t, err, ErrHeld)
	}
	repeated, err := s.Acquire(modelLeaseName, "a", 500, true, 0)
	assert.NoError(t, err)
	assert.Equal(t, l.Token, repeated.Token, "the holder repeats its request")
	s.Withdraw(modelLeaseName, "c")
	var order []string
	for token := l.Token; ; {
		next, granted, err := s.End(modelLeaseName, token)
		assert.NoError(t, err)
		if !granted {
			break
		}
		_, _, err = s.End(modelLeaseName, token)
		assert.ErrorIs(t, err, ErrNotHolder)
		assert.Greater(t, next.Token, token)
		order, token = append(order, next.Holder), next.Token
	}
	assert.Equal(t, []string{"d", "b"}, order)
	for _, bad := range [][2]string{{"", "a"}, {"a b", "a"}, {modelLeaseName, ""}} {
		_, err := s.Acquire(bad[0], bad[1], 500, false, 0)
		assert.ErrorIs(t, err, ErrInvalidRequest)
	}
	_, err = s.Acquire(modelLeaseName, "a", 499, false, 0)
	assert.ErrorIs(t, err, ErrInvalidRequest)
	s.Acquire(modelLeaseName, "a", 500, false, 0)
	for i := range MaxWaitersPerLease {
		s.Acquire(modelLeaseName, fmt.Sprint("w", i), 500, true, 0)
	}
	_, err = s.Acquire(modelLeaseName, "late", 500, true, 0)
	assert.ErrorIs(t, err, ErrTooMany)
	c := s.Clone()
	c.Withdraw(modelLeaseName, "w0")
	assert.Len(t, s.Leases[modelLeaseName].Waiters, MaxWaitersPerLease)
}
