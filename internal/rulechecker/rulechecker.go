// Package rulechecker finds the mistakes in the operators' rules of the job path:
// entries that can never match, references to services that do not exist, and limits
// that contradict each other.
package rulechecker

import (
	"fmt"

	"yuccapaddle"
	"yuccapaddle/internal/finding"
)

// RuleChecker checks rules. Paths of its findings consist of queues, workspaces and the
// names of their fields, as in queues[0].prefix.
type RuleChecker struct {
	services       map[string]bool
	capacity       *int
	versionInForce int64
}

// Option configures a RuleChecker.
type Option func(*RuleChecker)

// WithServices sets the names of all services. Without it, the services of queues are not
// checked.
func WithServices(names []string) Option {
	return func(c *RuleChecker) {
		c.services = map[string]bool{}
		for _, n := range names {
			c.services[n] = true
		}
	}
}

// WithCapacity sets the number of accelerators of all workers, with which the guarantees
// are compared.
func WithCapacity(accelerators int) Option {
	return func(c *RuleChecker) { c.capacity = &accelerators }
}

// WithVersionInForce sets the version of the rules in force, which rules of a lower
// version do not replace.
func WithVersionInForce(version int64) Option {
	return func(c *RuleChecker) { c.versionInForce = version }
}

// New returns a RuleChecker.
func New(opts ...Option) *RuleChecker {
	c := &RuleChecker{}
	for _, o := range opts {
		o(c)
	}
	return c
}

// collector gathers the findings of one check.
type collector struct {
	findings []finding.Finding
}

func (c *collector) errorf(path, format string, args ...any) {
	c.findings = append(c.findings, finding.Finding{Severity: finding.Error, Path: path, Text: fmt.Sprintf(format, args...)})
}

func (c *collector) warnf(path, format string, args ...any) {
	c.findings = append(c.findings, finding.Finding{Severity: finding.Warning, Path: path, Text: fmt.Sprintf(format, args...)})
}

// checkNotNegative adds an error if the number is negative.
func (c *collector) checkNotNegative(path string, value int) {
	if value < 0 {
		c.errorf(path, "%d is negative", value)
	}
}

// checkName adds an error if the name is empty or belongs to an earlier entry.
func (c *collector) checkName(path, kind, name string, seen map[string]bool) {
	if name == "" {
		c.errorf(path, "the %s has no name", kind)
		return
	}
	if seen[name] {
		c.errorf(path, "%s %q is already declared", kind, name)
	}
	seen[name] = true
}

// Check returns all findings on the rules: first those on the version, then those on
// queues and workspaces in their order, then that on the sum of the guarantees.
func (c *RuleChecker) Check(rules *yuccapaddle.Rules) []finding.Finding {
	out := &collector{findings: []finding.Finding{}}
	if rules.Version < c.versionInForce {
		out.errorf("version", "version %d is lower than version %d in force, and would not replace it", rules.Version, c.versionInForce)
	}
	c.checkQueues(out, rules.Queues)
	checkWorkspaces(out, rules)
	c.checkGuarantees(out, rules.Workspaces)
	return out.findings
}

// checkGuarantees compares the sum of the guarantees with the capacity, if that is known.
func (c *RuleChecker) checkGuarantees(out *collector, workspaces []yuccapaddle.WorkspaceGrant) {
	if c.capacity == nil {
		return
	}
	sum := 0
	for i := range workspaces {
		sum += max(workspaces[i].Guaranteed, 0)
	}
	if sum > *c.capacity {
		out.warnf("workspaces", "%d accelerators are guaranteed, and the workers have %d", sum, *c.capacity)
	}
}
