package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"yuccapaddle"
	"yuccapaddle/internal/standin/laborer"
	"yuccapaddle/internal/standin/worker"
	"yuccapaddle/platform/booter"
	"yuccapaddle/platform/provider"
)

const (
	service   = "sleeves"
	authority = "sleeves.example"
	// holdMaxMS is the longest lease that a worker gives.
	holdMaxMS   = 6000
	perRack     = 8
	domainCount = 3
	// portsPerHost are set aside for each host, after the store's port.
	portsPerHost = 10
)

func init() {
	register(usersCommand)
}

// users are the options of the command.
type users struct {
	address        string
	dir            string
	workers, hosts int
}

func usersCommand() *cobra.Command {
	u := &users{}
	cmd := &cobra.Command{
		Use:   "users",
		Short: "Serves the users' platform: its store with rules, and workers; writes settings for hosts",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return u.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&u.address, "address", "127.0.0.1:7600", "IP:port of the store; the hosts' ports follow it")
	flags.StringVar(&u.dir, "dir", ".", "folder for the settings of the hosts, host-1.json and so on")
	flags.IntVar(&u.workers, "workers", 24, "workers")
	flags.IntVar(&u.hosts, "hosts", 3, "hosts for which settings are written")
	return cmd
}

func (u *users) run(cmd *cobra.Command) error {
	p := provider.New()
	if _, err := p.Serve(u.address); err != nil {
		return err
	}
	if err := configure(p); err != nil {
		return err
	}
	starts := laborer.NewStarts()
	for i := range u.workers {
		if err := addWorker(p, i, starts); err != nil {
			return err
		}
	}
	for i := range u.hosts {
		path, err := u.writeSettings(i)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s=%s yuccapaddled platform\n", booter.Variable, path)
	}
	if err := p.Run(cmd.Context()); err != nil {
		return err
	}
	return p.Close()
}

func configure(p *provider.Provider) error {
	queue := func(name string, priority, objectiveMS int) yuccapaddle.Queue {
		return yuccapaddle.Queue{
			Name: name, Authority: authority, Prefix: "/" + name + "/", Service: service,
			Priority: priority, Attempts: 3, Stretch: 3, ObjectiveMS: objectiveMS,
		}
	}
	return p.Configure([]yuccapaddle.Queue{queue("checks", 0, 400), queue("proofs", 1, 1200), queue("sweeps", 2, 3000)},
		[]yuccapaddle.WorkspaceGrant{{Name: "bench", Keys: []string{"bench-key"}, Guaranteed: 16}, {Name: "press", Keys: []string{"press-key"}, Guaranteed: 8}})
}

func addWorker(p *provider.Provider, i int, starts *laborer.Starts) error {
	rack := i / perRack
	w := laborer.New(yuccapaddle.Worker{
		ID: fmt.Sprintf("w%02d", i), Service: service, Domain: fmt.Sprintf("domain-%d", 1+rack%domainCount),
		Labels: []string{"plain", fmt.Sprintf("rack-%d", 1+rack)}, Capacity: yuccapaddle.Need{CPU: 64000, Memory: 262144, GPU: perRack},
	}, holdMaxMS, work, starts)
	address, err := p.Add(w)
	if err != nil {
		return err
	}
	return p.Register(w, address)
}

// work reads the payload that the other stand-ins read, too.
func work(_ yuccapaddle.TaskID, payload string) (time.Duration, bool) {
	p := worker.Payload{MS: 1000}
	_ = json.Unmarshal([]byte(payload), &p) // a payload of another shape runs for a second
	return time.Duration(p.MS) * time.Millisecond, p.Fail != ""
}

func (u *users) writeSettings(i int) (string, error) {
	store, err := netip.ParseAddrPort(u.address)
	if err != nil {
		return "", fmt.Errorf("--address: %w", err)
	}
	next := store.Port() + uint16(portsPerHost*(i+1))
	port := func() string {
		next++
		return netip.AddrPortFrom(store.Addr(), next).String()
	}
	s := booter.Settings{
		Host: fmt.Sprintf("host-%d", i+1), Domain: fmt.Sprintf("domain-%d", 1+i%domainCount), Region: "region",
		Callers: port(), Ready: port(), Peers: port(), Requests: port(), Metrics: port(), Store: u.address,
		LeaseLeastMS: 1000, MemoryMB: 284, Processor: 1,
		Bounds: booter.Bounds{
			HoldMaxMS: holdMaxMS, DrainMS: 2500, EvacuateMS: 5000, ApplyMS: 2500, RestoreMS: 600, RemotePenalty: 3, StatusS: 120, GraceS: 6,
		},
	}
	data, err := json.MarshalIndent(&s, "", "  ")
	if err != nil {
		return "", fmt.Errorf("encode the settings of %s: %w", s.Host, err)
	}
	path := filepath.Join(u.dir, s.Host+".json")
	if err := os.WriteFile(path, append(data, '\n'), 0o600); err != nil {
		return "", fmt.Errorf("write the settings of %s: %w", s.Host, err)
	}
	return path, nil
}
