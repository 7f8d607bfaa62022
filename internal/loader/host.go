package loader

import (
	"fmt"
	"net/netip"
	"slices"

	"yuccapaddle"
	"yuccapaddle/internal/checker"
)

// minTokenLength is the minimum length of the token that hosts share, in bytes.
const minTokenLength = 16

// Host is the section of the settings that differs between hosts.
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

// Listen holds the addresses that the host listens on, as IP:port.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
	Metrics   string `json:"metrics"`
}

// Platform holds the addresses of the platform's services, as IP:port. If HostList is
// empty, the host does not read the host list.
type Platform struct {
	Store    string `json:"store"`
	HostList string `json:"hostList"`
}

// Peer is another host of the system.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Limits bounds what one host accepts and how long it waits. Fields that end in
// MS are in milliseconds.
type Limits struct {
	BodyBytes   int `json:"bodyBytes"`
	HeaderBytes int `json:"headerBytes"`
	Connections int `json:"connections"`
	InFlight    int `json:"inFlight"`
	// Descriptors is the number of descriptors that the process may have, 0 for as many as the
	// operating system allows.
	Descriptors int `json:"descriptors"`
	// MemoryMB is the memory that the process has, in megabytes. The bodies of all requests
	// under way take up to a fixed fraction of it.
	MemoryMB int `json:"memoryMb"`
	// CallerRate is the rate limit of each caller, in requests per second.
	CallerRate  float64 `json:"callerRate"`
	CallerBurst int     `json:"callerBurst"`
	ReadMS      int     `json:"readMs"`
	// WaitMS is the longest wait for a final outcome that a caller can ask for.
	WaitMS int `json:"waitMs"`
	// NotReadyMS is how long a stopping host still accepts requests after it has
	// reported itself not ready.
	NotReadyMS int `json:"drainMs"`
	// DrainGraceMS is how long after that the requests in flight may take.
	DrainGraceMS int `json:"drainGraceMs"`
	// RetriesPerSecond and RetryBurst are the rate and burst of the budget for
	// repeating calls to the active host.
	RetriesPerSecond float64 `json:"retriesASecond"`
	RetryBurst       int     `json:"retriesAtOnce"`
	// AcceptMS is how long after its arrival a submission may still be accepted.
	AcceptMS int `json:"acceptMs"`
	// SettleMS is the time after which a submission or cancellation is answered
	// with what is known.
	SettleMS int `json:"settleMs"`
	// HostListIntervalMS is the interval at which the platform's host list is read.
	HostListIntervalMS int `json:"hostListEveryMs"`
}

// Tokens holds the SHA-256 hashes, in hex, of the bearer tokens. Peers is
// different: it is the token itself, as each host has to send it to the others. If
// Peers is empty, the peers' listener accepts calls without a token.
type Tokens struct {
	Peers     string          `json:"peers,omitempty"`
	Callers   []CallerToken   `json:"callers"`
	Operators []OperatorToken `json:"operators"`
}

// CallerToken authorises a caller to use one workspace.
type CallerToken struct {
	Workspace string `json:"workspace"`
	Caller    string `json:"caller"`
	Hash      string `json:"hash"`
}

// OperatorToken authorises an operator to change the configuration.
type OperatorToken struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
}

// DefaultHost returns a Host that contains the default limits.
func DefaultHost() Host {
	return Host{Limits: Limits{
		BodyBytes:          64 << 10,
		HeaderBytes:        8 << 10,
		Connections:        2048,
		InFlight:           4096,
		MemoryMB:           256,
		CallerRate:         500,
		CallerBurst:        2000,
		ReadMS:             10_000,
		WaitMS:             30_000,
		NotReadyMS:         500,
		DrainGraceMS:       5_000,
		RetriesPerSecond:   50,
		RetryBurst:         200,
		AcceptMS:           5_000,
		SettleMS:           8_000,
		HostListIntervalMS: 1_000,
	}}
}

// check finds the problems that the schema cannot express: invalid or duplicate
// addresses, a short peers token and duplicate hashes of callers' tokens.
func (h *Host) check() []checker.Problem {
	var problems []checker.Problem
	firstUse := map[string]string{}
	checkAddress := func(path, value string) {
		if _, err := netip.ParseAddrPort(value); err != nil {
			problems = append(problems, checker.Problem{Path: path, Text: fmt.Sprintf("%q is not an IP address with a port", value)})
			return
		}
		if first, ok := firstUse[value]; ok {
			problems = append(problems, checker.Problem{Path: path, Text: fmt.Sprintf("address %s is already used at %s", value, first)})
			return
		}
		firstUse[value] = path
	}
	checkAddress("host.listen.callers", h.Listen.Callers)
	checkAddress("host.listen.operators", h.Listen.Operators)
	checkAddress("host.listen.peers", h.Listen.Peers)
	checkAddress("host.listen.metrics", h.Listen.Metrics)
	checkAddress("host.platform.store", h.Platform.Store)
	if h.Platform.HostList != "" && h.Platform.HostList != h.Platform.Store {
		checkAddress("host.platform.hostList", h.Platform.HostList)
	}
	for i, p := range h.Peers {
		if p.Name == h.Name {
			continue
		}
		checkAddress(fmt.Sprintf("host.peers[%d].address", i), p.Address)
	}
	if n := len(h.Tokens.Peers); n > 0 && n < minTokenLength {
		problems = append(problems, checker.Problem{Path: "host.tokens.peers", Text: fmt.Sprintf("it has %d characters, at least %d are needed", n, minTokenLength)})
	}
	seenHashes := map[string]bool{}
	for i, t := range h.Tokens.Callers {
		if seenHashes[t.Hash] {
			problems = append(problems, checker.Problem{Path: fmt.Sprintf("host.tokens.callers[%d].hash", i), Text: "this hash is already declared"})
		}
		seenHashes[t.Hash] = true
	}
	return problems
}

// warnings finds entries of the host's section without an effect, and limits that
// contradict each other.
func (h *Host) warnings(site *yuccapaddle.Site) []checker.Problem {
	var problems []checker.Problem
	addf := func(path, format string, args ...any) {
		problems = append(problems, checker.Problem{Path: path, Text: fmt.Sprintf(format, args...)})
	}
	if !slices.ContainsFunc(site.Domains, func(d yuccapaddle.Domain) bool { return d.Name == h.Domain }) {
		addf("host.domain", "failure domain %q does not exist", h.Domain)
	}
	hasToken := map[string]bool{}
	for _, ws := range site.Workspaces {
		hasToken[ws.Name] = false
	}
	for i, t := range h.Tokens.Callers {
		if _, ok := hasToken[t.Workspace]; !ok {
			addf(fmt.Sprintf("host.tokens.callers[%d].workspace", i), "workspace %q does not exist, so requests with this token are refused", t.Workspace)
		}
		hasToken[t.Workspace] = true
	}
	for _, ws := range site.Workspaces {
		if !hasToken[ws.Name] {
			addf("host.tokens.callers", "workspace %q has no token, so nobody can submit to it", ws.Name)
		}
	}
	operatorByHash := map[string]string{}
	for i, t := range h.Tokens.Operators {
		if first, ok := operatorByHash[t.Hash]; ok {
			addf(fmt.Sprintf("host.tokens.operators[%d].hash", i), "this hash is already declared for operator %q, whose changes are recorded as made by %q", first, t.Name)
		}
		operatorByHash[t.Hash] = t.Name
	}
	if h.Limits.SettleMS < h.Limits.AcceptMS {
		addf("host.limits.settleMs", "%d is less than acceptMs %d: callers are answered before it is decided whether their submission is accepted", h.Limits.SettleMS, h.Limits.AcceptMS)
	}
	return problems
}
