// Command yuccapaddle is the command line for callers and operators.
package main

import (
	"os"

	"yuccapaddle/internal/commander"
	"yuccapaddle/platform/configurer"
	"yuccapaddle/platform/documentchecker"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], commander.WithDocumentCheck(documentchecker.Check), commander.WithHostCheck(configurer.Check)))
}
