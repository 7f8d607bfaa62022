package applier

import (
	"encoding/json"
	"fmt"
	"slices"

	"yuccapaddle"
	"yuccapaddle/internal/mapper"
)

// Actions that operators can request.
const (
	ActionApply         = "apply"
	ActionDomainOut     = "domain-out"
	ActionDomainBack    = "domain-back"
	ActionUpstreamDrain = "upstream-drain"
	ActionUpstreamBack  = "upstream-back"
	ActionWorkerDrain   = "worker-drain"
	ActionWorkerBack    = "worker-back"
)

// editSite returns a copy of the site with the change made.
func editSite(old yuccapaddle.Site, c Change) (*yuccapaddle.Site, error) {
	if c.Action == ActionApply {
		if c.Site == nil {
			return nil, fmt.Errorf("action %q needs a site", c.Action)
		}
		return KeepDrains(&old, c.Site)
	}
	site, err := cloneSite(old)
	if err != nil {
		return nil, err
	}
	switch c.Action {
	case ActionDomainOut, ActionDomainBack:
		return site, setDomainOut(site, c.Target, c.Action == ActionDomainOut)
	case ActionUpstreamDrain:
		site.DrainedUpstreams = addName(site.DrainedUpstreams, c.Target)
	case ActionUpstreamBack:
		site.DrainedUpstreams = removeName(site.DrainedUpstreams, c.Target)
	case ActionWorkerDrain:
		site.DrainedWorkers = addName(site.DrainedWorkers, c.Target)
	case ActionWorkerBack:
		site.DrainedWorkers = removeName(site.DrainedWorkers, c.Target)
	default:
		return nil, fmt.Errorf("action %q does not exist", c.Action)
	}
	return site, nil
}

// KeepDrains returns a copy of next in which the failure domains, upstreams and
// workers that operators have taken out of service in old stay out. Settings files
// do not contain that state; only the actions that bring an item back end it. Items
// that next does not declare are dropped.
func KeepDrains(old, next *yuccapaddle.Site) (*yuccapaddle.Site, error) {
	site, err := cloneSite(*next)
	if err != nil {
		return nil, err
	}
	for i := range site.Domains {
		d := &site.Domains[i]
		wasOut := slices.ContainsFunc(old.Domains, func(o yuccapaddle.Domain) bool { return o.Name == d.Name && o.Out })
		d.Out = d.Out || wasOut
	}
	m := mapper.New(site)
	for _, name := range old.DrainedUpstreams {
		if m.DomainOf(name) != "" {
			site.DrainedUpstreams = addName(site.DrainedUpstreams, name)
		}
	}
	for _, name := range old.DrainedWorkers {
		if m.UpstreamOf(name) != "" {
			site.DrainedWorkers = addName(site.DrainedWorkers, name)
		}
	}
	return site, nil
}

func cloneSite(old yuccapaddle.Site) (*yuccapaddle.Site, error) {
	data, err := json.Marshal(old)
	if err != nil {
		return nil, fmt.Errorf("copy the site: %w", err)
	}
	var out yuccapaddle.Site
	if err := json.Unmarshal(data, &out); err != nil {
		return nil, fmt.Errorf("copy the site: %w", err)
	}
	return &out, nil
}

func setDomainOut(site *yuccapaddle.Site, name string, out bool) error {
	for i := range site.Domains {
		if site.Domains[i].Name == name {
			site.Domains[i].Out = out
			return nil
		}
	}
	return fmt.Errorf("failure domain %q does not exist", name)
}

func addName(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	out := append(slices.Clone(list), name)
	slices.Sort(out)
	return out
}

func removeName(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(n string) bool { return n == name })
}
