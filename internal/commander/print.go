package commander

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"yuccapaddle/internal/writer"
)

const tabPadding = 2

// errorMessage returns the message of a JSON error response, or the body itself
// if it isn't one.
func errorMessage(body string) string {
	var e writer.ErrorBody
	if json.Unmarshal([]byte(body), &e) == nil && e.Error != "" {
		return e.Error
	}
	return strings.TrimSpace(body)
}

// print writes v as JSON or rows as a table, depending on --output.
func (c *Commander) print(cmd *cobra.Command, v any, rows [][]string) error {
	out := cmd.OutOrStdout()
	if c.output == "json" {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(out, 0, 0, tabPadding, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
