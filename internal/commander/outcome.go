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

// maxWaitPerCall limits how long one call waits. Longer waits are split into
// several calls, so that they continue at another host when one stops.
const maxWaitPerCall = 10 * time.Second

// callForOutcome calls the callers' API. A response that contains an outcome is
// not an error, whatever its HTTP status.
func (c *Commander) callForOutcome(method, path string, body any) (yuccapaddle.Outcome, error) {
	var o yuccapaddle.Outcome
	err := c.call(method, path, body, &o)
	var statusErr *caller.StatusError
	if errors.As(err, &statusErr) && json.Unmarshal([]byte(statusErr.Text()), &o) == nil && o.Verdict != "" {
		return o, nil
	}
	if err != nil {
		return o, exitErrorFrom(err)
	}
	return o, nil
}

// awaitOutcome polls the request until its outcome is final, the request turns
// out not to exist, or the deadline has passed. o is the outcome known so far.
func (c *Commander) awaitOutcome(o yuccapaddle.Outcome, id string, deadline time.Time) (yuccapaddle.Outcome, error) {
	for !o.Verdict.Final() && o.Verdict != yuccapaddle.VerdictNotFound && time.Now().Before(deadline) {
		wait := min(time.Until(deadline), maxWaitPerCall)
		next, err := c.callForOutcome(fasthttp.MethodGet, "/v1/requests/"+id+"?wait="+wait.Round(time.Millisecond).String(), nil)
		if err != nil {
			return o, err
		}
		o = next
	}
	return o, nil
}

// reportOutcome prints an outcome and returns it as an exit error, nil if the
// request is done.
func (c *Commander) reportOutcome(cmd *cobra.Command, o yuccapaddle.Outcome) error {
	rows := [][]string{{"REQUEST", "VERDICT", "RAN", "ATTEMPTS", "REASON"}}
	rows = append(rows, []string{o.ID, string(o.Verdict), strconv.FormatBool(o.MayHaveRun), strconv.Itoa(o.Attempts), o.Reason})
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
		return exitErrorf(codeFailed, "request %s failed: %s", o.ID, o.Reason)
	case yuccapaddle.VerdictRefused:
		return exitErrorf(codeRefused, "request was refused and did not run: %s", o.Reason)
	case yuccapaddle.VerdictCancelled:
		return exitErrorf(codeCancelled, "request %s was cancelled", o.ID)
	case yuccapaddle.VerdictNotFound:
		return exitErrorf(codeNotFound, "request does not exist in this workspace")
	}
	return exitErrorf(codeUnknown, "request %s is %s, ask again with: yuccapaddle wait %s", o.ID, o.Verdict, o.ID)
}
