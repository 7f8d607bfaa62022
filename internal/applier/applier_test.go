package applier_test

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccapaddle"
	"yuccapaddle/internal/applier"
	"yuccapaddle/internal/loader"
	"yuccapaddle/internal/standin/storer"
	"yuccapaddle/internal/watcher"
)

// segmentSize is how many changes fill a segment of the audit trail.
const segmentSize = 200

// TestRepeatAfterRotation checks that a change whose answer was lost is recognised when it
// is sent again, although its entry has moved to a full segment of the audit trail.
func TestRepeatAfterRotation(t *testing.T) {
	c := qt.New(t)
	settings, problems, err := loader.Load("../../deploy/base.json", "../../deploy/overlays/ardenvliet.json", "../../deploy/hosts/ard-1.json")
	c.Assert(err, qt.IsNil)
	c.Assert(problems, qt.HasLen, 0)
	domain := settings.Site.Domains[0].Name
	cfg := yuccapaddle.Config{Revision: segmentSize - 1, Site: settings.Site}
	for i := 1; i < segmentSize; i++ {
		cfg.Audit = append(cfg.Audit, yuccapaddle.Audit{Revision: uint64(i), ChangeID: fmt.Sprint("earlier-", i)})
	}
	value, err := json.Marshal(&cfg)
	c.Assert(err, qt.IsNil)
	store := storer.New()
	_, err = store.Put(t.Context(), yuccapaddle.Write{Key: watcher.Key, Value: value})
	c.Assert(err, qt.IsNil)
	a := applier.New(store, "h1")
	apply := func(ch applier.Change) applier.Result {
		ch.Reason, ch.Operator = "test", "op"
		result, _ := a.Apply(t.Context(), ch)
		return result
	}
	out := applier.Change{ID: "out", Action: applier.ActionDomainOut, Target: domain, Base: segmentSize - 1}
	first := apply(out)
	c.Assert(first, qt.DeepEquals, applier.Result{Status: applier.Accepted, Revision: segmentSize})
	c.Assert(apply(applier.Change{ID: "back", Action: applier.ActionDomainBack, Target: domain}).Status, qt.Equals, applier.Accepted)
	c.Check(apply(out), qt.DeepEquals, first, qt.Commentf("it was made, and is not made again"))
	out.Base = 0
	c.Check(apply(out), qt.DeepEquals, first)
}
