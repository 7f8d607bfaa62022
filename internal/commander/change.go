package commander

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"yuccapaddle"
	"yuccapaddle/internal/applier"
	"yuccapaddle/internal/caller"
	"yuccapaddle/internal/namer"
)

const (
	changeAttempts   = 5
	changeRetryDelay = time.Second
)

// change sends an operator's change, and repeats it with the same id while it is
// unknown whether the change was made.
func (c *Commander) change(cmd *cobra.Command, ch applier.Change) error {
	if ch.Reason == "" {
		return exitErrorf(codeUsage, "a reason is needed: use --reason")
	}
	ch.ID = namer.Unique("change")
	var r applier.Result
	for range changeAttempts {
		var err error
		r, err = c.sendChange(ch)
		if err != nil {
			return err
		}
		if r.Status != applier.Unknown {
			break
		}
		time.Sleep(changeRetryDelay)
	}
	return c.reportChange(cmd, ch, r)
}

// sendChange sends the change once. A response that contains a result is not an
// error, whatever its HTTP status.
func (c *Commander) sendChange(ch applier.Change) (applier.Result, error) {
	var r applier.Result
	err := c.call(fasthttp.MethodPost, "/v1/change", ch, &r)
	var statusErr *caller.StatusError
	if errors.As(err, &statusErr) && json.Unmarshal([]byte(statusErr.Text()), &r) == nil && r.Status != "" {
		return r, nil
	}
	if err != nil {
		return r, exitErrorFrom(err)
	}
	return r, nil
}

func (c *Commander) reportChange(cmd *cobra.Command, ch applier.Change, r applier.Result) error {
	rows := [][]string{{"ACTION", "TARGET", "STATUS", "REVISION"}}
	rows = append(rows, []string{ch.Action, ch.Target, string(r.Status), fmt.Sprint(r.Revision)})
	for _, p := range r.Problems {
		rows = append(rows, []string{p.String()})
	}
	if r.Diff != "" {
		rows = append(rows, []string{"difference to what is in force: " + r.Diff})
	}
	if err := c.print(cmd, r, rows); err != nil {
		return err
	}
	switch r.Status {
	case applier.Accepted:
		return nil
	case applier.Conflict:
		return exitErrorf(codeConflict, "%s: look at config diff and apply again", r.Reason)
	case applier.Invalid:
		return exitErrorf(codeInvalid, "the change was refused: %s", r.Reason)
	case applier.NotApplied:
		return exitErrorf(codeUnavailable, "the change was not made: %s", r.Reason)
	}
	return exitErrorf(codeUnknown, "it is not known whether the change was made, look at audit for %s: %s", ch.ID, r.Reason)
}

func reasonFlag(cmd *cobra.Command) *string {
	return cmd.Flags().String("reason", "", "why, for the audit trail (needed)")
}

// newActionCommand returns a command that changes the item named by its
// argument. names lists the items of a site for shell completion.
func (c *Commander) newActionCommand(use, short, action string, names func(*yuccapaddle.Site) []string) *cobra.Command {
	cmd := &cobra.Command{Use: use + " NAME", Short: short, Args: cobra.ExactArgs(1)}
	reason := reasonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return c.change(cmd, applier.Change{Action: action, Target: args[0], Reason: *reason})
	}
	cmd.ValidArgsFunction = func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		cfg, err := c.fetchConfig()
		if err != nil {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		return names(&cfg.Site), cobra.ShellCompDirectiveNoFileComp
	}
	return cmd
}

func (c *Commander) fetchConfig() (*yuccapaddle.Config, error) {
	var cfg yuccapaddle.Config
	if err := c.call(fasthttp.MethodGet, "/v1/config", nil, &cfg); err != nil {
		return nil, exitErrorFrom(err)
	}
	return &cfg, nil
}
