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
	changeTries = 5
	changePause = time.Second
)

// change sends an operator's change, with the same id until its fate is known.
func (c *Commander) change(cmd *cobra.Command, ch applier.Change) error {
	if ch.Reason == "" {
		return exit(codeUsage, "a reason is needed: use --reason")
	}
	ch.ID = namer.Unique("change")
	var r applier.Result
	for range changeTries {
		var err error
		r, err = c.changeOnce(ch)
		if err != nil {
			return err
		}
		if r.Status != applier.Unknown {
			break
		}
		time.Sleep(changePause)
	}
	return c.reportChange(cmd, ch, r)
}

func (c *Commander) changeOnce(ch applier.Change) (applier.Result, error) {
	var r applier.Result
	err := c.call(fasthttp.MethodPost, "/v1/change", ch, &r)
	var status *caller.StatusError
	if errors.As(err, &status) && json.Unmarshal([]byte(status.Text()), &r) == nil && r.Status != "" {
		return r, nil
	}
	if err != nil {
		return r, statusText(err)
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
		return exit(codeConflict, "%s: look at config diff and apply again", r.Reason)
	case applier.Invalid:
		return exit(codeInvalid, "the change was refused: %s", r.Reason)
	case applier.NotApplied:
		return exit(codeUnavailable, "the change was not made: %s", r.Reason)
	}
	return exit(codeUnsettled, "it is not known whether the change was made, look at audit for %s: %s", ch.ID, r.Reason)
}

func reasonFlag(cmd *cobra.Command) *string {
	return cmd.Flags().String("reason", "", "why, for the audit trail (needed)")
}

// action makes a command that changes one named thing.
func (c *Commander) action(use, short, action string, names func(*yuccapaddle.Site) []string) *cobra.Command {
	cmd := &cobra.Command{Use: use + " NAME", Short: short, Args: cobra.ExactArgs(1)}
	reason := reasonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return c.change(cmd, applier.Change{Action: action, Target: args[0], Reason: *reason})
	}
	cmd.ValidArgsFunction = func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		cfg, err := c.config()
		if err != nil {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		return names(&cfg.Site), cobra.ShellCompDirectiveNoFileComp
	}
	return cmd
}

func (c *Commander) config() (*yuccapaddle.Config, error) {
	var cfg yuccapaddle.Config
	if err := c.call(fasthttp.MethodGet, "/v1/config", nil, &cfg); err != nil {
		return nil, statusText(err)
	}
	return &cfg, nil
}
