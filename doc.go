// Package yuccapaddle holds the shared records of the scheduler and the
// interfaces behind which its behaviour varies: the platform's key-value
// service, its host list, its workers, the placement policy and the clock.
//
// Implementations live below internal/. Records that cross a process border or
// are kept in the platform's service have exported fields, because
// encoding/json reads only those; live objects keep their fields unexported.
package yuccapaddle
