// Package namer generates unique names for processes, changes and the like.
package namer

import "math/rand/v2"

const (
	alphabet     = "abcdefghijklmnopqrstuvwxyz0123456789"
	randomLength = 16
)

// Unique returns the prefix, "-" and a random suffix, or only the suffix if the prefix
// is empty.
func Unique(prefix string) string {
	b := make([]byte, randomLength)
	for i := range b {
		b[i] = alphabet[rand.IntN(len(alphabet))]
	}
	if prefix == "" {
		return string(b)
	}
	return prefix + "-" + string(b)
}
