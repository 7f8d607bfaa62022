package commander

import (
	"strconv"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"yuccapaddle"
)

func init() {
	register(newState)
}

func newState(c *Commander) *cobra.Command {
	cmd := &cobra.Command{Use: "state", Short: "Shows every host: who is active, revisions, backlog", Args: cobra.NoArgs}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		hosts, err := c.fetchHostStates()
		if err != nil {
			return err
		}
		rows := [][]string{{"HOST", "ACTIVE", "LEADER", "REVISION", "JOURNAL", "JOBS", "GANGS", "WAITING", "STALLED", "ERROR"}}
		for _, h := range hosts {
			rows = append(rows, stateRow(h))
		}
		return c.print(cmd, hosts, rows)
	}
	return cmd
}

func stateRow(h yuccapaddle.HostReply) []string {
	s := h.Status
	if s == nil {
		return []string{h.Host, "", "", "", "", "", "", "", "", h.Error}
	}
	row := []string{h.Host, strconv.FormatBool(s.Active), s.Leader, strconv.FormatUint(s.Revision, 10)}
	if e := s.Engine; e != nil {
		return append(row, strconv.FormatUint(e.Journal, 10), strconv.Itoa(e.Jobs), strconv.Itoa(e.Gangs),
			strconv.Itoa(e.Waiting), strconv.FormatBool(e.Stalled), "")
	}
	return append(row, "", "", "", "", "", "")
}

func (c *Commander) fetchHostStates() ([]yuccapaddle.HostReply, error) {
	var hosts []yuccapaddle.HostReply
	if err := c.call(fasthttp.MethodGet, "/v1/state", nil, &hosts); err != nil {
		return nil, exitErrorFrom(err)
	}
	return hosts, nil
}

// fetchEngineStatus returns the engine status of the active host.
func (c *Commander) fetchEngineStatus() (*yuccapaddle.EngineStatus, error) {
	hosts, err := c.fetchHostStates()
	if err != nil {
		return nil, err
	}
	for _, h := range hosts {
		if h.Status != nil && h.Status.Engine != nil {
			return h.Status.Engine, nil
		}
	}
	return nil, exitErrorf(codeUnavailable, "no host is active now, look at: yuccapaddle state")
}
