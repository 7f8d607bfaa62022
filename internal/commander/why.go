package commander

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"yuccapaddle"
	"yuccapaddle/internal/jobmaker"
)

func init() {
	register(newWhy)
}

func newWhy(c *Commander) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "why ID",
		Short: "Tells what a job does and what it waits for, asked at a host's metrics address",
		Long:  "Tells what a job does and what it waits for, asked at a host's metrics address.\nID is that of a job, or WORKSPACE/ID of a request.",
		Args:  cobra.ExactArgs(1),
	}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		id := args[0]
		if strings.Contains(id, "/") {
			id = jobmaker.JobID(id)
		}
		var v yuccapaddle.JobView
		if err := c.call(fasthttp.MethodGet, "/v1/jobs/"+id, nil, &v); err != nil {
			return exitErrorFrom(err)
		}
		return c.print(cmd, v, whyRows(&v))
	}
	return cmd
}

func whyRows(v *yuccapaddle.JobView) [][]string {
	rows := [][]string{
		{"JOB", "QUEUE", "WORKSPACE", "PRIORITY", "STATE", "ACCEPTED", "REASON"},
		{v.ID, v.Queue, v.Workspace, strconv.Itoa(v.Priority), string(v.State), v.Accepted.Format("15:04:05.000"), v.Reason},
		{"STEP", "TASKS", "DONE", "PLACED", "FAILURES", "CRASHES", "WORKERS", "WAITS"},
	}
	for _, s := range v.Steps {
		rows = append(rows, []string{
			fmt.Sprintf("%d.%d", s.Occurrence, s.Step), strconv.Itoa(s.Tasks), strconv.Itoa(s.Done), strconv.Itoa(s.Placed),
			strconv.Itoa(s.Failures), strconv.Itoa(s.Crashes), strings.Join(s.Workers, ","), s.Waits,
		})
	}
	return rows
}
