package main

import (
	"github.com/spf13/cobra"

	"yuccapaddle/internal/standin/exposer"
	"yuccapaddle/internal/standin/lister"
	"yuccapaddle/internal/standin/storer"
)

// Rate limits that the requirements give for the platform's key-value service.
const (
	maxWritesPerSecond = 400
	maxReadsPerSecond  = 2000
)

func init() {
	register(platformCommand)
}

func platformCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "platform", Short: "Serves the key-value service and the host list"}
	address := cmd.Flags().String("address", "127.0.0.1:7100", "IP:port to serve")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s := storer.New()
		s.SetFaults(storer.Faults{WriteRate: maxWritesPerSecond, ReadRate: maxReadsPerSecond})
		return exposer.New(s, lister.New(), nil).Serve(cmd.Context(), *address)
	}
	return cmd
}
