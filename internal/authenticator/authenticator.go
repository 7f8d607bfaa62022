// Package authenticator recognises bearer tokens by their hashes.
package authenticator

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"yuccapaddle/internal/loader"
)

// Authenticator knows the callers and operators of a host.
type Authenticator struct {
	callers   map[string]loader.CallerToken
	operators map[string]string
}

// New returns an Authenticator for the tokens of the settings.
func New(t loader.Tokens) *Authenticator {
	a := &Authenticator{callers: map[string]loader.CallerToken{}, operators: map[string]string{}}
	for _, c := range t.Callers {
		a.callers[c.Hash] = c
	}
	for _, o := range t.Operators {
		a.operators[o.Hash] = o.Name
	}
	return a
}

// Caller returns the workspace and caller of an Authorization header.
func (a *Authenticator) Caller(header string) (workspace, caller string, ok bool) {
	c, ok := a.callers[hash(header)]
	return c.Workspace, c.Caller, ok
}

// Operator returns the operator of an Authorization header.
func (a *Authenticator) Operator(header string) (name string, ok bool) {
	name, ok = a.operators[hash(header)]
	return name, ok
}

func hash(header string) string {
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return ""
	}
	return Hash(token)
}

// Hash is the form in which settings keep a token. Tokens are long and random,
// so that a plain hash is enough, and looking one up by its hash tells nothing
// by its timing.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
