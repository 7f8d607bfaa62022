// Package checker finds the mistakes in a site that a JSON schema cannot express:
// duplicate names, references to items that do not exist, and guarantees that do
// not fit the declared capacity.
package checker

import (
	"fmt"
	"net/netip"
	"slices"

	"yuccapaddle"
	"yuccapaddle/internal/guarantor"
	"yuccapaddle/internal/mapper"
)

// Problem is one mistake in the settings: the path of the key, as in
// site.domains[0].name, and what is wrong with its value.
type Problem struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// String returns the path and the text on one line.
func (p Problem) String() string {
	return p.Path + ": " + p.Text
}

// validator collects the problems of one site.
type validator struct {
	problems  []Problem
	firstPath map[string]string
}

// Check returns all problems of a site, none if it can be accepted. Whether the
// guarantees fit is checked only if there are no other problems.
func Check(site *yuccapaddle.Site) []Problem {
	v := &validator{firstPath: map[string]string{}}
	domains := map[string]bool{}
	for i := range site.Domains {
		v.checkDomain(fmt.Sprintf("site.domains[%d]", i), &site.Domains[i])
		domains[site.Domains[i].Name] = true
	}
	for i := range site.Workspaces {
		v.checkWorkspace(fmt.Sprintf("site.workspaces[%d]", i), &site.Workspaces[i], domains)
	}
	m := mapper.New(site)
	v.checkDrained("site.drainedUpstreams", site.DrainedUpstreams, func(n string) bool { return m.DomainOf(n) != "" })
	v.checkDrained("site.drainedWorkers", site.DrainedWorkers, func(n string) bool { return m.UpstreamOf(n) != "" })
	if len(v.problems) > 0 {
		return v.problems
	}
	possible := v.checkShapes(site, m)
	for _, shortage := range guarantor.New(possible, m).Check() {
		v.addf("site.workspaces", "%s", shortage)
	}
	return v.problems
}

// checkShapes adds a problem for each guarantee of which not even one shape fits on the
// idle workers, and returns a copy of the site without these guarantees.
func (v *validator) checkShapes(site *yuccapaddle.Site, m *mapper.Mapper) *yuccapaddle.Site {
	possible := *site
	possible.Workspaces = slices.Clone(site.Workspaces)
	for i := range possible.Workspaces {
		ws := &possible.Workspaces[i]
		var guarantees []yuccapaddle.Guarantee
		for n, g := range ws.Guarantees {
			alone := *site
			alone.SurviveDomainLoss = false
			one := g
			one.Count = 1
			alone.Workspaces = []yuccapaddle.Workspace{{Name: ws.Name, Guarantees: []yuccapaddle.Guarantee{one}}}
			if shortages := guarantor.New(&alone, m).Check(); len(shortages) > 0 {
				v.addf(fmt.Sprintf("site.workspaces[%d].guarantees[%d]", i, n), "%s, even on idle workers", shortages[0])
				continue
			}
			guarantees = append(guarantees, g)
		}
		ws.Guarantees = guarantees
	}
	return &possible
}

func (v *validator) addf(path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

// checkUnique records a name of a kind and adds a problem if it was recorded before.
func (v *validator) checkUnique(kind, name, path string) {
	key := kind + " " + name
	if first, ok := v.firstPath[key]; ok {
		v.addf(path, "%s %q is already declared at %s", kind, name, first)
		return
	}
	v.firstPath[key] = path
}

func (v *validator) checkDomain(path string, d *yuccapaddle.Domain) {
	v.checkUnique("failure domain", d.Name, path+".name")
	for i := range d.Upstreams {
		u := &d.Upstreams[i]
		at := fmt.Sprintf("%s.upstreams[%d]", path, i)
		v.checkUnique("upstream", u.Name, at+".name")
		v.checkUnique("address", u.Address, at+".address")
		if _, err := netip.ParseAddrPort(u.Address); err != nil {
			v.addf(at+".address", "%q is not an IP address with a port", u.Address)
		}
		for n := range u.Racks {
			v.checkUnique("rack", u.Racks[n].Name, fmt.Sprintf("%s.racks[%d].name", at, n))
		}
	}
}

func (v *validator) checkWorkspace(path string, ws *yuccapaddle.Workspace, domains map[string]bool) {
	v.checkUnique("workspace", ws.Name, path+".name")
	guaranteed := 0
	for i, g := range ws.Guarantees {
		at := fmt.Sprintf("%s.guarantees[%d]", path, i)
		guaranteed += g.Count * g.Workers * g.Accelerators
		if g.Domain != "" && !domains[g.Domain] {
			v.addf(at+".domain", "failure domain %q does not exist", g.Domain)
		}
		if g.Span == yuccapaddle.SpanWorker && g.Workers != 1 {
			v.addf(at+".workers", "a shape within one worker has 1 worker, not %d", g.Workers)
		}
	}
	if ws.Quota > 0 && guaranteed > ws.Quota {
		v.addf(path+".quota", "quota %d is less than the %d accelerators that are guaranteed", ws.Quota, guaranteed)
	}
	for i, t := range ws.Teams {
		at := fmt.Sprintf("%s.teams[%d]", path, i)
		v.checkUnique("team", ws.Name+"/"+t.Name, at+".name")
		if ws.Quota > 0 && t.Quota > ws.Quota {
			v.addf(at+".quota", "team quota %d is more than the workspace's %d", t.Quota, ws.Quota)
		}
	}
}

func (v *validator) checkDrained(path string, names []string, exists func(string) bool) {
	for i, n := range names {
		if !exists(n) {
			v.addf(fmt.Sprintf("%s[%d]", path, i), "%q does not exist", n)
		}
	}
}
