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
	"yuccapaddle/internal/standin/taskrunner"
	"yuccapaddle/internal/standin/worker"
	"yuccapaddle/platform/configurer"
	"yuccapaddle/platform/simulator"
)

const (
	serviceName = "sleeves"
	authority   = "sleeves.example"
	// maxLeaseMS is the longest lease that a worker grants.
	maxLeaseMS = 6000
	// workersPerRack is also the number of GPUs of each worker.
	workersPerRack = 8
	domainCount    = 3
	// portsPerHost is the number of ports reserved for each host, following the
	// store's port.
	portsPerHost = 10
)

func init() {
	register(usersCommand)
}

// usersOptions holds the flags of the command.
type usersOptions struct {
	address        string
	dir            string
	workers, hosts int
}

func usersCommand() *cobra.Command {
	o := &usersOptions{}
	cmd := &cobra.Command{
		Use:   "users",
		Short: "Serves the users' platform: its store with rules, and workers; writes settings for hosts",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&o.address, "address", "127.0.0.1:7600", "IP:port of the store; the hosts' ports follow it")
	flags.StringVar(&o.dir, "dir", ".", "folder for the settings of the hosts, host-1.json and so on")
	flags.IntVar(&o.workers, "workers", 24, "workers")
	flags.IntVar(&o.hosts, "hosts", 3, "hosts for which settings are written")
	return cmd
}

func (o *usersOptions) run(cmd *cobra.Command) error {
	sim := simulator.New()
	if _, err := sim.ServeStore(o.address); err != nil {
		return err
	}
	if err := applyRules(sim); err != nil {
		return err
	}
	startLog := taskrunner.NewStartLog()
	for i := range o.workers {
		if err := addWorker(sim, i, startLog); err != nil {
			return err
		}
	}
	for i := range o.hosts {
		path, err := o.writeSettings(i)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s=%s yuccapaddled platform\n", configurer.EnvVariable, path)
	}
	if err := sim.Run(cmd.Context()); err != nil {
		return err
	}
	return sim.Close()
}

func applyRules(sim *simulator.Simulator) error {
	queue := func(name string, priority, objectiveMS int) yuccapaddle.Queue {
		return yuccapaddle.Queue{
			Name: name, Authority: authority, Prefix: "/" + name + "/", Service: serviceName,
			Priority: priority, Attempts: 3, Stretch: 3, ObjectiveMS: objectiveMS,
		}
	}
	return sim.SetRules([]yuccapaddle.Queue{queue("checks", 0, 400), queue("proofs", 1, 1200), queue("sweeps", 2, 3000)},
		[]yuccapaddle.WorkspaceGrant{{Name: "bench", Keys: []string{"bench-key"}, Guaranteed: 16}, {Name: "press", Keys: []string{"press-key"}, Guaranteed: 8}})
}

func addWorker(sim *simulator.Simulator, i int, startLog *taskrunner.StartLog) error {
	rack := i / workersPerRack
	w := taskrunner.New(yuccapaddle.Worker{
		ID: fmt.Sprintf("w%02d", i), Service: serviceName, Domain: fmt.Sprintf("domain-%d", 1+rack%domainCount),
		Labels: []string{"plain", fmt.Sprintf("rack-%d", 1+rack)}, Capacity: yuccapaddle.Need{CPU: 64000, Memory: 262144, GPU: workersPerRack},
	}, maxLeaseMS, simulateTask, startLog)
	address, err := sim.ServeWorker(w)
	if err != nil {
		return err
	}
	return sim.Register(w, address)
}

// simulateTask returns how long a task runs and whether it fails, as its payload
// says. The payload has the format of the other simulated workers.
func simulateTask(_ yuccapaddle.TaskID, payload string) (time.Duration, bool) {
	p := worker.Payload{MS: 1000}
	_ = json.Unmarshal([]byte(payload), &p) // a payload in another format runs for a second
	return time.Duration(p.MS) * time.Millisecond, p.Fail != ""
}

func (o *usersOptions) writeSettings(i int) (string, error) {
	store, err := netip.ParseAddrPort(o.address)
	if err != nil {
		return "", fmt.Errorf("--address: %w", err)
	}
	lastPort := store.Port() + uint16(portsPerHost*(i+1))
	nextAddress := func() string {
		lastPort++
		return netip.AddrPortFrom(store.Addr(), lastPort).String()
	}
	s := configurer.Settings{
		Host: fmt.Sprintf("host-%d", i+1), Domain: fmt.Sprintf("domain-%d", 1+i%domainCount), Region: "region",
		Callers: nextAddress(), Readiness: nextAddress(), Peers: nextAddress(), Requests: nextAddress(), Metrics: nextAddress(), Store: o.address,
		MinLeaseMS: 1000, MemoryMB: 284, CPUShare: 1,
		Bounds: configurer.Bounds{
			MaxLeaseMS: maxLeaseMS, DrainMS: 2500, EvacuateMS: 5000, ApplyMS: 2500, RestoreMS: 600, RemoteSlowdown: 3, RetentionS: 120, GraceS: 6,
		},
	}
	data, err := json.MarshalIndent(&s, "", "  ")
	if err != nil {
		return "", fmt.Errorf("encode the settings of %s: %w", s.Host, err)
	}
	path := filepath.Join(o.dir, s.Host+".json")
	if err := os.WriteFile(path, append(data, '\n'), 0o600); err != nil {
		return "", fmt.Errorf("write the settings of %s: %w", s.Host, err)
	}
	return path, nil
}
