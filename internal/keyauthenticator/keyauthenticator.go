// Package keyauthenticator authenticates callers by the API keys in the operators'
// rules.
package keyauthenticator

import (
	"strings"

	"yuccapaddle"
)

const bearerPrefix = "Bearer "

// KeyAuthenticator looks keys up in the rules in force.
type KeyAuthenticator struct {
	rules func() *yuccapaddle.Rules
}

// New returns a KeyAuthenticator. rules returns the rules in force, nil if there are
// none yet.
func New(rules func() *yuccapaddle.Rules) *KeyAuthenticator {
	return &KeyAuthenticator{rules: rules}
}

// Caller returns the workspace whose key an Authorization header holds. All callers
// of a workspace count as one, so caller is the workspace's name too.
func (a *KeyAuthenticator) Caller(header string) (workspace, caller string, ok bool) {
	key, ok := strings.CutPrefix(header, bearerPrefix)
	rules := a.rules()
	if !ok || rules == nil {
		return "", "", false
	}
	grant := rules.WorkspaceByKey(key)
	if grant == nil {
		return "", "", false
	}
	return grant.Name, grant.Name, true
}
