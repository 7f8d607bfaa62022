// Package keyholder recognises callers by the keys of the operators' rules.
package keyholder

import (
	"strings"

	"yuccapaddle"
)

const bearer = "Bearer "

// Keyholder knows the workspaces' keys in force.
type Keyholder struct {
	rules func() *yuccapaddle.Rules
}

// New returns a Keyholder; rules returns the rules in force, nil if there are none
// yet.
func New(rules func() *yuccapaddle.Rules) *Keyholder {
	return &Keyholder{rules: rules}
}

// Caller returns the workspace whose key an Authorization header carries. All
// callers of a workspace count as one.
func (k *Keyholder) Caller(header string) (workspace, caller string, ok bool) {
	key, ok := strings.CutPrefix(header, bearer)
	rules := k.rules()
	if !ok || rules == nil {
		return "", "", false
	}
	grant := rules.Holder(key)
	if grant == nil {
		return "", "", false
	}
	return grant.Name, grant.Name, true
}
