// Package digester computes digests of sets of lease names, so that a host and an
// upstream can compare their sets without sending them.
package digester

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of the names that does not depend on their order.
func Digest(names []string) uint64 {
	sorted := append([]string(nil), names...)
	sort.Strings(sorted)
	h := xxhash.New()
	for _, n := range sorted {
		_, _ = h.WriteString(n)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
