// Package keyholder identifies callers by the API keys in the operators' rules.
package keyholder

import (
	"strings"

	"yuccapaddle"
)

const bearerPrefix = "Bearer "

// Keyholder looks keys up in the rules in force.
type Keyholder struct {
	rules func() *yuccapaddle.Rules
}

// New returns a Keyholder. rules returns the rules in force, nil if there are none
// yet.
func New(rules func() *yuccapaddle.Rules) *Keyholder {
	return &Keyholder{rules: rules}
}

// Caller returns the workspace whose key an Authorization header holds. All callers
// of a workspace count as one, so caller is the workspace's name too.
func (k *Keyholder) Caller(header string) (workspace, caller string, ok bool) {
	key, ok := strings.CutPrefix(header, bearerPrefix)
	rules := k.rules()
	if !ok || rules == nil {
		return "", "", false
	}
	grant := rules.WorkspaceByKey(key)
	if grant == nil {
		return "", "", false
	}
	return grant.Name, grant.Name, true
}
