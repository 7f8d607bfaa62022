// Package authenticator identifies callers and operators by the hashes of their bearer
// tokens.
package authenticator

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"yuccapaddle/internal/loader"
)

// Authenticator identifies the callers and operators in a host's settings.
type Authenticator struct {
	callers   map[string]loader.CallerToken // by hash
	operators map[string]string             // names by hash
}

// New returns an Authenticator for the tokens in the settings.
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

// Caller returns the workspace and caller that an Authorization header identifies.
func (a *Authenticator) Caller(header string) (workspace, caller string, ok bool) {
	c, ok := a.callers[headerHash(header)]
	return c.Workspace, c.Caller, ok
}

// Operator returns the name of the operator that an Authorization header identifies.
func (a *Authenticator) Operator(header string) (name string, ok bool) {
	name, ok = a.operators[headerHash(header)]
	return name, ok
}

// headerHash returns the hash of the bearer token in an Authorization header, empty
// if it holds none.
func headerHash(header string) string {
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return ""
	}
	return Hash(token)
}

// Hash returns the form in which settings store a token, its SHA-256 in hexadecimal.
// Tokens are long and random, so they need neither a salt nor a slow hash, and a
// lookup by hash does not reveal tokens by its timing.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
