package commander

import (
	"encoding/json"
	"os"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"yuccapaddle/internal/namer"
	"yuccapaddle/internal/responder"
)

func init() {
	register(newSubmit)
}

func newSubmit(c *Commander) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "submit",
		Short: "Submits a job; with --wait its whole answer is printed",
		Args:  cobra.NoArgs,
	}
	var s responder.Submission
	var payload, file string
	var wait time.Duration
	flags := cmd.Flags()
	flags.StringVar(&s.ID, "id", "", "idempotency key; a new one is made if it is not given")
	flags.StringVar(&s.Team, "team", "", "team whose quota is used")
	flags.StringVar(&s.Class, "class", "batch", "quick or batch")
	flags.StringVar(&s.Queue, "queue", "", "queue of the operators' rules, on the users' platform; without it, one that fits the class")
	flags.IntVar(&s.Tasks, "tasks", 1, "tasks that run together")
	flags.IntVar(&s.Accelerators, "accelerators", 1, "accelerators of each task")
	flags.StringVar(&s.Span, "span", "domain", "widest spread of the tasks: worker, rack, domain")
	flags.BoolVar(&s.Repeatable, "repeatable", false, "the job may be run again after a failure")
	flags.StringVar(&payload, "payload", "", "input of the tasks, in JSON")
	flags.StringVar(&file, "file", "", "file with the whole submission in JSON, instead of the other flags")
	flags.DurationVar(&wait, "wait", 0, "how long to wait for the answer")
	_ = cmd.RegisterFlagCompletionFunc("class", completions("quick", "batch"))
	_ = cmd.RegisterFlagCompletionFunc("span", completions("worker", "rack", "domain"))
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if file != "" {
			if err := readSubmission(file, &s); err != nil {
				return err
			}
		}
		if payload != "" {
			if !json.Valid([]byte(payload)) {
				return exitErrorf(codeUsage, "payload is not JSON")
			}
			s.Payload = json.RawMessage(payload)
		}
		if s.ID == "" {
			s.ID = namer.Unique("")
		}
		return c.submit(cmd, s, wait)
	}
	return cmd
}

func readSubmission(file string, s *responder.Submission) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return exitErrorf(codeUsage, "submission cannot be read: %v", err)
	}
	if err := json.Unmarshal(data, s); err != nil {
		return exitErrorf(codeUsage, "submission %s is not valid: %v", file, err)
	}
	return nil
}

func (c *Commander) submit(cmd *cobra.Command, s responder.Submission, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	o, err := c.callForOutcome(fasthttp.MethodPost, "/v1/requests", s)
	if err != nil {
		return err
	}
	o, err = c.awaitOutcome(o, s.ID, deadline)
	if err != nil {
		return err
	}
	if o.ID == "" {
		o.ID = s.ID
	}
	if wait == 0 && !o.Verdict.Final() && o.Verdict != "unknown" {
		return c.print(cmd, o, [][]string{{"REQUEST", "VERDICT"}, {o.ID, string(o.Verdict)}})
	}
	return c.reportOutcome(cmd, o)
}
