package watcher

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"yuccapaddle"
	"yuccapaddle/internal/standin/storer"
)

// TestOffer checks that a revision is applied only if it is higher than the current
// one.
func TestOffer(t *testing.T) {
	var applied []uint64
	w := New(storer.New(), zap.NewNop(), func(c *yuccapaddle.Config) { applied = append(applied, c.Revision) })
	for _, revision := range []uint64{2, 1, 2, 3, 0, 3, 5, 4} {
		w.Offer(&yuccapaddle.Config{Revision: revision})
	}
	qt.Assert(t, applied, qt.DeepEquals, []uint64{2, 3, 5})
	qt.Assert(t, w.Current().Revision, qt.Equals, uint64(5))
}

// TestDecode checks that an invalid configuration is an error.
func TestDecode(t *testing.T) {
	for _, text := range []string{"", "{", `{"revision":-1}`, `{"revision":"x"}`, "[]"} {
		_, err := Decode([]byte(text))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", text))
	}
}
