// Package namer makes names that no other process or change has.
package namer

import "math/rand/v2"

const (
	alphabet = "abcdefghijklmnopqrstuvwxyz0123456789"
	length   = 16
)

// Unique returns the prefix, if there is one, with a random ending.
func Unique(prefix string) string {
	b := make([]byte, length)
	for i := range b {
		b[i] = alphabet[rand.IntN(len(alphabet))]
	}
	if prefix == "" {
		return string(b)
	}
	return prefix + "-" + string(b)
}
