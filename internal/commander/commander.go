// Package commander implements the command line for callers and operators. Each
// command has its own file and registers its constructor in init.
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
	"yuccapaddle/internal/finding"
	"yuccapaddle/internal/rulechecker"
)

// Exit codes, as listed in docs/OPERATIONS.md.
const (
	codeError       = 1
	codeUsage       = 2
	codeFailed      = 3
	codeRefused     = 4
	codeCancelled   = 5
	codeUnknown     = 6 // the outcome is not final or not known
	codeConflict    = 7
	codeInvalid     = 8
	codeNotFound    = 9
	codeUnavailable = 10
)

// Exit codes of config check, which differ from those of the other commands: scripts that
// apply a configuration only have to tell errors from warnings.
const (
	codeCheckWarnings = 1
	codeCheckErrors   = 2
)

const (
	tokenEnv          = "YUCCAPADDLE_TOKEN"
	serverEnv         = "YUCCAPADDLE_SERVER"
	attemptsPerServer = 3
	retryDelay        = 300 * time.Millisecond
)

// Commander holds the global flags, which all commands share.
type Commander struct {
	servers []string
	token   string
	output  string
	timeout time.Duration
	// checkDocument checks operators' documents. It is nil if the program knows no
	// platform that has them.
	checkDocument DocumentCheck
	// checkHost checks the settings of hosts of the job path. It is nil as above.
	checkHost HostCheck
}

// HostCheck returns the findings on the settings file of a host of the job path.
type HostCheck func(data []byte) []finding.Finding

// DocumentCheck returns the findings on an operators' document of the job path. The
// error reports data that is no such document.
type DocumentCheck func(data []byte, opts ...rulechecker.Option) ([]finding.Finding, error)

// Option configures a Commander.
type Option func(*Commander)

// WithDocumentCheck sets the check of operators' documents.
func WithDocumentCheck(check DocumentCheck) Option {
	return func(c *Commander) { c.checkDocument = check }
}

// WithHostCheck sets the check of settings files of hosts of the job path.
func WithHostCheck(check HostCheck) Option {
	return func(c *Commander) { c.checkHost = check }
}

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string {
	return e.text
}

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, text: fmt.Sprintf(format, args...)}
}

// builders construct the registered commands.
var builders []func(c *Commander) *cobra.Command

func register(b func(c *Commander) *cobra.Command) {
	builders = append(builders, b)
}

// New returns the root command.
func New(opts ...Option) *cobra.Command {
	c := &Commander{}
	for _, o := range opts {
		o(c)
	}
	root := &cobra.Command{
		Use:           "yuccapaddle",
		Short:         "Submits jobs and operates workspaces, failure domains and the configuration",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if c.output != "text" && c.output != "json" {
				return exitErrorf(codeUsage, "output %q is not one of text, json", c.output)
			}
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&c.servers, "server", splitServers(os.Getenv(serverEnv)), "IP:port of hosts, tried in order (or "+serverEnv+")")
	flags.StringVar(&c.token, "token", os.Getenv(tokenEnv), "bearer token (or "+tokenEnv+")")
	flags.StringVar(&c.output, "output", "text", "text or json")
	flags.DurationVar(&c.timeout, "timeout", 15*time.Second, "how long one call to a host may take")
	_ = root.RegisterFlagCompletionFunc("output", completions("text", "json"))
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exitErrorf(codeUsage, "%v", err) })
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

// completions returns a completion function that offers the values.
func completions(values ...string) func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	return func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		return values, cobra.ShellCompDirectiveNoFileComp
	}
}

// Run executes the command line and returns the exit code. It prints errors to
// standard error.
func Run(args []string, opts ...Option) int {
	root := New(opts...)
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

// call sends a request to each server in turn, up to attemptsPerServer times,
// until one responds.
func (c *Commander) call(method, path string, body, reply any) error {
	return c.callTimes(attemptsPerServer, method, path, body, reply)
}

// callTimes sends a request to each server in turn, up to attempts times, until one
// responds. A call without a response may have taken effect and is repeated nevertheless:
// every call of this program is idempotent, as submissions and changes carry an id.
func (c *Commander) callTimes(attempts int, method, path string, body, reply any) error {
	if len(c.servers) == 0 {
		return exitErrorf(codeUsage, "no server is given: use --server IP:port or set %s", serverEnv)
	}
	client := caller.New(caller.WithToken(c.token), caller.WithFreshConnections())
	var lastErr error
	for attempt := range attempts {
		if attempt > 0 {
			time.Sleep(retryDelay)
		}
		for _, server := range c.servers {
			err := client.Call(context.Background(), method, "http://"+server+path, body, reply, c.timeout)
			var statusErr *caller.StatusError
			if err == nil || errors.As(err, &statusErr) {
				return err
			}
			lastErr = err
		}
	}
	return exitErrorf(codeUnavailable, "no server answers, check --server: %v", lastErr)
}

// exitErrorFrom returns the exit error for an error response of a host, and any
// other error unchanged.
func exitErrorFrom(err error) error {
	var statusErr *caller.StatusError
	if !errors.As(err, &statusErr) {
		return err
	}
	text := errorMessage(statusErr.Text())
	switch statusErr.Code() {
	case fasthttp.StatusUnauthorized:
		return exitErrorf(codeUsage, "%s: use --token or set %s", text, tokenEnv)
	case fasthttp.StatusNotFound:
		return exitErrorf(codeNotFound, "%s", text)
	case fasthttp.StatusBadRequest:
		return exitErrorf(codeUsage, "%s", text)
	case fasthttp.StatusServiceUnavailable:
		return exitErrorf(codeUnavailable, "%s", text)
	}
	return exitErrorf(codeError, "%s", text)
}
