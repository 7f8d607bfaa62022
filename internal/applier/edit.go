package applier

import (
	"encoding/json"
	"fmt"
	"slices"

	"yuccapaddle"
	"yuccapaddle/internal/mapper"
)

// Actions that operators can ask for.
const (
	ActionApply         = "apply"
	ActionDomainOut     = "domain-out"
	ActionDomainBack    = "domain-back"
	ActionUpstreamDrain = "upstream-drain"
	ActionUpstreamBack  = "upstream-back"
	ActionWorkerDrain   = "worker-drain"
	ActionWorkerBack    = "worker-back"
)

// edit returns a changed copy of the site.
func edit(old yuccapaddle.Site, c Change) (*yuccapaddle.Site, error) {
	if c.Action == ActionApply {
		if c.Site == nil {
			return nil, fmt.Errorf("action %q needs a site", c.Action)
		}
		return Keep(&old, c.Site)
	}
	site, err := clone(old)
	if err != nil {
		return nil, err
	}
	switch c.Action {
	case ActionDomainOut, ActionDomainBack:
		return site, setOut(site, c.Target, c.Action == ActionDomainOut)
	case ActionUpstreamDrain:
		site.DrainedUpstreams = with(site.DrainedUpstreams, c.Target)
	case ActionUpstreamBack:
		site.DrainedUpstreams = without(site.DrainedUpstreams, c.Target)
	case ActionWorkerDrain:
		site.DrainedWorkers = with(site.DrainedWorkers, c.Target)
	case ActionWorkerBack:
		site.DrainedWorkers = without(site.DrainedWorkers, c.Target)
	default:
		return nil, fmt.Errorf("action %q does not exist", c.Action)
	}
	return site, nil
}

// Keep returns the site that operators apply with the exits and drains that are
// in force, which files do not know of: only the orders to bring a place back
// end them. Drains of what the new site no longer has are dropped.
func Keep(old, next *yuccapaddle.Site) (*yuccapaddle.Site, error) {
	site, err := clone(*next)
	if err != nil {
		return nil, err
	}
	for i := range site.Domains {
		d := &site.Domains[i]
		wasOut := slices.ContainsFunc(old.Domains, func(o yuccapaddle.Domain) bool { return o.Name == d.Name && o.Out })
		d.Out = d.Out || wasOut
	}
	now := mapper.New(site)
	for _, name := range old.DrainedUpstreams {
		if now.DomainOf(name) != "" {
			site.DrainedUpstreams = with(site.DrainedUpstreams, name)
		}
	}
	for _, name := range old.DrainedWorkers {
		if now.UpstreamOf(name) != "" {
			site.DrainedWorkers = with(site.DrainedWorkers, name)
		}
	}
	return site, nil
}

func clone(old yuccapaddle.Site) (*yuccapaddle.Site, error) {
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

func setOut(site *yuccapaddle.Site, name string, out bool) error {
	for i := range site.Domains {
		if site.Domains[i].Name == name {
			site.Domains[i].Out = out
			return nil
		}
	}
	return fmt.Errorf("failure domain %q does not exist", name)
}

func with(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	out := append(slices.Clone(list), name)
	slices.Sort(out)
	return out
}

func without(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(n string) bool { return n == name })
}
