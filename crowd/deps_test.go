package crowd_test

// The daemon that the tests build consists of these packages: with them imported, a result
// that go test has cached is not reused after a change of theirs.
import (
	_ "yuccapaddle/internal/assembler"
	_ "yuccapaddle/internal/server"
	_ "yuccapaddle/platform/adviser"
	_ "yuccapaddle/platform/fleetmanager"
	_ "yuccapaddle/platform/jobhandler"
	_ "yuccapaddle/platform/lister"
	_ "yuccapaddle/platform/reader"
	_ "yuccapaddle/platform/runner"
)
