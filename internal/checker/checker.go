// Package checker finds the mistakes in a site that no schema can tell:
// duplicates, references to nothing, and guarantees that do not fit.
package checker

import (
	"fmt"
	"net/netip"

	"yuccapaddle"
	"yuccapaddle/internal/guarantor"
	"yuccapaddle/internal/mapper"
)

// Problem is one mistake: the path of the key, as in the file, and what is
// wrong with it.
type Problem struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	return p.Path + ": " + p.Text
}

// pass collects the problems of one site.
type pass struct {
	problems []Problem
	seen     map[string]string
}

// Check returns all mistakes of a site, none if it can be accepted.
func Check(site *yuccapaddle.Site) []Problem {
	p := &pass{seen: map[string]string{}}
	domains := map[string]bool{}
	for i := range site.Domains {
		p.domain(fmt.Sprintf("site.domains[%d]", i), &site.Domains[i])
		domains[site.Domains[i].Name] = true
	}
	for i := range site.Workspaces {
		p.workspace(fmt.Sprintf("site.workspaces[%d]", i), &site.Workspaces[i], domains)
	}
	m := mapper.New(site)
	p.drained("site.drainedUpstreams", site.DrainedUpstreams, func(n string) bool { return m.DomainOf(n) != "" })
	p.drained("site.drainedWorkers", site.DrainedWorkers, func(n string) bool { return m.UpstreamOf(n) != "" })
	if len(p.problems) > 0 {
		return p.problems
	}
	for _, short := range guarantor.New(site, m).Check() {
		p.add("site.workspaces", "%s", short)
	}
	return p.problems
}

func (p *pass) add(path, format string, args ...any) {
	p.problems = append(p.problems, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

// unique notes a name of a kind; the same name twice is a mistake.
func (p *pass) unique(kind, name, path string) {
	key := kind + " " + name
	if first, ok := p.seen[key]; ok {
		p.add(path, "%s %q is already declared at %s", kind, name, first)
		return
	}
	p.seen[key] = path
}

func (p *pass) domain(path string, d *yuccapaddle.Domain) {
	p.unique("failure domain", d.Name, path+".name")
	for i := range d.Upstreams {
		u := &d.Upstreams[i]
		at := fmt.Sprintf("%s.upstreams[%d]", path, i)
		p.unique("upstream", u.Name, at+".name")
		p.unique("address", u.Address, at+".address")
		if _, err := netip.ParseAddrPort(u.Address); err != nil {
			p.add(at+".address", "%q is not an IP address with a port", u.Address)
		}
		for n := range u.Racks {
			p.unique("rack", u.Racks[n].Name, fmt.Sprintf("%s.racks[%d].name", at, n))
		}
	}
}

func (p *pass) workspace(path string, ws *yuccapaddle.Workspace, domains map[string]bool) {
	p.unique("workspace", ws.Name, path+".name")
	promised := 0
	for i, g := range ws.Guarantees {
		at := fmt.Sprintf("%s.guarantees[%d]", path, i)
		promised += g.Count * g.Workers * g.Accelerators
		if g.Domain != "" && !domains[g.Domain] {
			p.add(at+".domain", "failure domain %q does not exist", g.Domain)
		}
		if g.Span == yuccapaddle.SpanWorker && g.Workers != 1 {
			p.add(at+".workers", "a shape within one worker has 1 worker, not %d", g.Workers)
		}
	}
	if ws.Quota > 0 && promised > ws.Quota {
		p.add(path+".quota", "quota %d is less than the %d accelerators that are guaranteed", ws.Quota, promised)
	}
	for i, t := range ws.Teams {
		at := fmt.Sprintf("%s.teams[%d]", path, i)
		p.unique("team", ws.Name+"/"+t.Name, at+".name")
		if ws.Quota > 0 && t.Quota > ws.Quota {
			p.add(at+".quota", "team quota %d is more than the workspace's %d", t.Quota, ws.Quota)
		}
	}
}

func (p *pass) drained(path string, names []string, exists func(string) bool) {
	for i, n := range names {
		if !exists(n) {
			p.add(fmt.Sprintf("%s[%d]", path, i), "%q does not exist", n)
		}
	}
}
