package commander

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"yuccapaddle"
	"yuccapaddle/internal/caller"
)

// waitSlice is how long one call waits; longer waits are made of several, so
// that they go on at another host when one stops.
const waitSlice = 10 * time.Second

// outcome calls a host of the caller interface. Answers with an outcome in
// them come back as such whatever their status.
func (c *Commander) outcome(method, path string, body any) (yuccapaddle.Outcome, error) {
	var o yuccapaddle.Outcome
	err := c.call(method, path, body, &o)
	var status *caller.StatusError
	if errors.As(err, &status) && json.Unmarshal([]byte(status.Text()), &o) == nil && o.Verdict != "" {
		return o, nil
	}
	if err != nil {
		return o, statusText(err)
	}
	return o, nil
}

// settle waits until the outcome is final or the time is over.
func (c *Commander) settle(o yuccapaddle.Outcome, id string, deadline time.Time) (yuccapaddle.Outcome, error) {
	for !o.Verdict.Final() && o.Verdict != yuccapaddle.VerdictNotFound && time.Now().Before(deadline) {
		slice := min(time.Until(deadline), waitSlice)
		next, err := c.outcome(fasthttp.MethodGet, "/v1/requests/"+id+"?wait="+slice.Round(time.Millisecond).String(), nil)
		if err != nil {
			return o, err
		}
		o = next
	}
	return o, nil
}

// report prints an outcome and turns it into the exit code.
func (c *Commander) report(cmd *cobra.Command, o yuccapaddle.Outcome) error {
	rows := [][]string{{"REQUEST", "VERDICT", "RAN", "ATTEMPTS", "REASON"}}
	rows = append(rows, []string{o.ID, string(o.Verdict), strconv.FormatBool(o.Ran), strconv.Itoa(o.Attempts), o.Reason})
	if err := c.print(cmd, o, rows); err != nil {
		return err
	}
	if c.output == "text" {
		for rank, part := range o.Parts {
			fmt.Fprintf(cmd.OutOrStdout(), "part %d: %s\n", rank, part)
		}
	}
	return verdictError(o)
}

func verdictError(o yuccapaddle.Outcome) error {
	switch o.Verdict {
	case yuccapaddle.VerdictDone:
		return nil
	case yuccapaddle.VerdictFailed:
		return exit(codeFailed, "request %s failed: %s", o.ID, o.Reason)
	case yuccapaddle.VerdictRefused:
		return exit(codeRefused, "request was refused and did not run: %s", o.Reason)
	case yuccapaddle.VerdictCancelled:
		return exit(codeCancelled, "request %s was cancelled", o.ID)
	case yuccapaddle.VerdictNotFound:
		return exit(codeNotFound, "request does not exist in this workspace")
	}
	return exit(codeUnsettled, "request %s is %s, ask again with: yuccapaddle wait %s", o.ID, o.Verdict, o.ID)
}
