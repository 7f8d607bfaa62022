package main

import "runtime/debug"

const (
	// programBytes is what the program's own code and data take of the process's memory.
	programBytes = 12 << 20
	// heapFraction is the part of the rest that the Go runtime may use before it collects more
	// often.
	heapFraction = 0.75
)

// limitHeap makes the Go runtime collect more often as it comes near to the memory that the
// process has, in bytes.
func limitHeap(memory int64) {
	debug.SetMemoryLimit(int64(heapFraction * float64(memory-programBytes)))
}
