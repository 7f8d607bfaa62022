package commander

import (
	"github.com/spf13/cobra"

	"yuccapaddle/internal/authenticator"
	"yuccapaddle/internal/namer"
)

func init() {
	register(newToken)
}

func newToken(c *Commander) *cobra.Command {
	cmd := &cobra.Command{Use: "token", Short: "Makes a new bearer token and the hash for the settings", Args: cobra.NoArgs}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		token := namer.Unique("") + namer.Unique("")
		pair := struct {
			Token string `json:"token"`
			Hash  string `json:"hash"`
		}{token, authenticator.Hash(token)}
		return c.print(cmd, pair, [][]string{{"TOKEN", token}, {"HASH", pair.Hash}})
	}
	return cmd
}
