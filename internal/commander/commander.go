// Package commander is the command line for callers and operators. Each command
// has a file of its own and registers itself.
package commander

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"yuccapaddle/internal/caller"
)

// Exit codes, as listed in docs/OPERATIONS.md.
const (
	codeError       = 1
	codeUsage       = 2
	codeFailed      = 3
	codeRefused     = 4
	codeCancelled   = 5
	codeUnsettled   = 6
	codeConflict    = 7
	codeInvalid     = 8
	codeNotFound    = 9
	codeUnavailable = 10
)

const (
	tokenVariable  = "YUCCAPADDLE_TOKEN"
	serverVariable = "YUCCAPADDLE_SERVER"
	triesPerServer = 3
	retryPause     = 300 * time.Millisecond
)

// Commander holds the options that all commands share.
type Commander struct {
	servers []string
	token   string
	output  string
	timeout time.Duration
}

// exitError carries the exit code of a command's result.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string {
	return e.text
}

func exit(code int, format string, args ...any) error {
	return &exitError{code: code, text: fmt.Sprintf(format, args...)}
}

// builders are the registered commands.
var builders []func(c *Commander) *cobra.Command

func register(b func(c *Commander) *cobra.Command) {
	builders = append(builders, b)
}

// New returns the root command.
func New() *cobra.Command {
	c := &Commander{}
	root := &cobra.Command{
		Use:           "yuccapaddle",
		Short:         "Submits jobs and operates workspaces, failure domains and the configuration",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if c.output != "text" && c.output != "json" {
				return exit(codeUsage, "output %q is not one of text, json", c.output)
			}
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&c.servers, "server", splitServers(os.Getenv(serverVariable)), "IP:port of hosts, tried in order (or "+serverVariable+")")
	flags.StringVar(&c.token, "token", os.Getenv(tokenVariable), "bearer token (or "+tokenVariable+")")
	flags.StringVar(&c.output, "output", "text", "text or json")
	flags.DurationVar(&c.timeout, "timeout", 15*time.Second, "how long one call to a host may take")
	_ = root.RegisterFlagCompletionFunc("output", fixed("text", "json"))
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exit(codeUsage, "%v", err) })
	for _, b := range builders {
		root.AddCommand(b(c))
	}
	return root
}

func splitServers(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

func fixed(values ...string) func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	return func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		return values, cobra.ShellCompDirectiveNoFileComp
	}
}

// Run executes the command line and returns the exit code. Errors are one plain
// line on standard error.
func Run(args []string) int {
	root := New()
	root.SetArgs(args)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "yuccapaddle:", err)
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return codeError
}

// call sends a request to the first server that answers. A call that may have
// had its effect goes to the next server only if repeating it is harmless,
// which all calls of this program are: they carry an id.
func (c *Commander) call(method, path string, body, reply any) error {
	if len(c.servers) == 0 {
		return exit(codeUsage, "no server is given: use --server IP:port or set %s", serverVariable)
	}
	client := caller.New(caller.WithToken(c.token), caller.WithFreshConnections())
	var last error
	for range triesPerServer {
		for _, server := range c.servers {
			err := client.Call(context.Background(), method, "http://"+server+path, body, reply, c.timeout)
			var status *caller.StatusError
			if err == nil || errors.As(err, &status) {
				return err
			}
			last = err
		}
		time.Sleep(retryPause)
	}
	return exit(codeUnavailable, "no server answers, check --server: %v", last)
}

// statusText turns an error answer of a host into one plain line.
func statusText(err error) error {
	var status *caller.StatusError
	if !errors.As(err, &status) {
		return err
	}
	text := errorText(status.Text())
	switch status.Code() {
	case fasthttp.StatusUnauthorized:
		return exit(codeUsage, "%s: use --token or set %s", text, tokenVariable)
	case fasthttp.StatusNotFound:
		return exit(codeNotFound, "%s", text)
	case fasthttp.StatusBadRequest:
		return exit(codeUsage, "%s", text)
	case fasthttp.StatusServiceUnavailable:
		return exit(codeUnavailable, "%s", text)
	}
	return exit(codeError, "%s", text)
}
