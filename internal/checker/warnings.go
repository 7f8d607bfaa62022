package checker

import (
	"fmt"

	"yuccapaddle"
)

// Warnings returns the entries of a site that have no effect, although the site can be
// accepted: failure domains without upstreams, and guarantees bound to a failure domain
// that is out of service.
func Warnings(site *yuccapaddle.Site) []Problem {
	v := &validator{}
	out := map[string]bool{}
	for i := range site.Domains {
		d := &site.Domains[i]
		out[d.Name] = d.Out
		if len(d.Upstreams) == 0 {
			v.addf(fmt.Sprintf("site.domains[%d].upstreams", i), "failure domain %q has no upstreams, so nothing runs there", d.Name)
		}
	}
	for i := range site.Workspaces {
		for n, g := range site.Workspaces[i].Guarantees {
			if out[g.Domain] {
				v.addf(fmt.Sprintf("site.workspaces[%d].guarantees[%d].domain", i, n), "failure domain %q is out of service, so the guarantee cannot be kept", g.Domain)
			}
		}
	}
	return v.problems
}
