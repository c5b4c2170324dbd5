package leaseclient

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
)

// NewHolderName returns a unique holder name for this process: HOST:PID:RANDOM.
func NewHolderName() string {
	const randomBytes = 6
	host, _ := os.Hostname()
	name := []byte(cmp.Or(host, "host"))
	for i, c := range name {
		if !isAlphanumeric(c) {
			name[i] = '-'
		}
	}
	random := make([]byte, randomBytes)
	rand.Read(random)
	return fmt.Sprintf("%.40s:%d:%s", name, os.Getpid(), hex.EncodeToString(random))
}

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}
