package loader

import (
	"fmt"
	"net/netip"

	"yuccapaddle/internal/checker"
)

// leastToken is the number of characters of the shortest token that hosts may
// share.
const leastToken = 16

// Host is the section of settings that each host has of its own.
type Host struct {
	Name     string   `json:"name"`
	Domain   string   `json:"domain"`
	Region   string   `json:"region"`
	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	Peers    []Peer   `json:"peers"`
	Limits   Limits   `json:"limits"`
	Tokens   Tokens   `json:"tokens"`
}

// Listen are the addresses that the host serves, as IP:port.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
	Metrics   string `json:"metrics"`
}

// Platform are the addresses of the platform's services, as IP:port.
type Platform struct {
	Store    string `json:"store"`
	HostList string `json:"hostList"`
}

// Peer is another host of the system.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Limits bound what one host takes in. Times are in milliseconds.
type Limits struct {
	BodyBytes       int     `json:"bodyBytes"`
	HeaderBytes     int     `json:"headerBytes"`
	Connections     int     `json:"connections"`
	InFlight        int     `json:"inFlight"`
	CallerRate      float64 `json:"callerRate"`
	CallerBurst     int     `json:"callerBurst"`
	ReadMS          int     `json:"readMs"`
	WaitMS          int     `json:"waitMs"`
	DrainMS         int     `json:"drainMs"`
	DrainGraceMS    int     `json:"drainGraceMs"`
	RetriesASecond  float64 `json:"retriesASecond"`
	RetriesAtOnce   int     `json:"retriesAtOnce"`
	AcceptMS        int     `json:"acceptMs"`
	SettleMS        int     `json:"settleMs"`
	HostListEveryMS int     `json:"hostListEveryMs"`
}

// Tokens are the SHA-256 hashes, in hex, of the bearer tokens. Peers is the
// token itself that all hosts share, as each of them has to send it; empty lets
// every caller of the peers' listener in.
type Tokens struct {
	Peers     string          `json:"peers,omitempty"`
	Callers   []CallerToken   `json:"callers"`
	Operators []OperatorToken `json:"operators"`
}

// CallerToken lets a caller use one workspace.
type CallerToken struct {
	Workspace string `json:"workspace"`
	Caller    string `json:"caller"`
	Hash      string `json:"hash"`
}

// OperatorToken lets an operator change the configuration.
type OperatorToken struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
}

// Defaults returns a host section with every default in place.
func Defaults() Host {
	return Host{Limits: Limits{
		BodyBytes:       64 << 10,
		HeaderBytes:     8 << 10,
		Connections:     2048,
		InFlight:        4096,
		CallerRate:      500,
		CallerBurst:     2000,
		ReadMS:          10_000,
		WaitMS:          30_000,
		DrainMS:         500,
		DrainGraceMS:    5_000,
		RetriesASecond:  50,
		RetriesAtOnce:   200,
		AcceptMS:        5_000,
		SettleMS:        8_000,
		HostListEveryMS: 1_000,
	}}
}

func (h *Host) check() []checker.Problem {
	var out []checker.Problem
	seen := map[string]string{}
	address := func(path, value string) {
		if _, err := netip.ParseAddrPort(value); err != nil {
			out = append(out, checker.Problem{Path: path, Text: fmt.Sprintf("%q is not an IP address with a port", value)})
			return
		}
		if first, ok := seen[value]; ok {
			out = append(out, checker.Problem{Path: path, Text: fmt.Sprintf("address %s is already used at %s", value, first)})
			return
		}
		seen[value] = path
	}
	address("host.listen.callers", h.Listen.Callers)
	address("host.listen.operators", h.Listen.Operators)
	address("host.listen.peers", h.Listen.Peers)
	address("host.listen.metrics", h.Listen.Metrics)
	address("host.platform.store", h.Platform.Store)
	if h.Platform.HostList != "" && h.Platform.HostList != h.Platform.Store {
		address("host.platform.hostList", h.Platform.HostList)
	}
	for i, p := range h.Peers {
		if p.Name == h.Name {
			continue
		}
		address(fmt.Sprintf("host.peers[%d].address", i), p.Address)
	}
	if n := len(h.Tokens.Peers); n > 0 && n < leastToken {
		out = append(out, checker.Problem{Path: "host.tokens.peers", Text: fmt.Sprintf("it has %d characters, at least %d are needed", n, leastToken)})
	}
	tokens := map[string]bool{}
	for i, t := range h.Tokens.Callers {
		if tokens[t.Hash] {
			out = append(out, checker.Problem{Path: fmt.Sprintf("host.tokens.callers[%d].hash", i), Text: "this hash is already declared"})
		}
		tokens[t.Hash] = true
	}
	return out
}
