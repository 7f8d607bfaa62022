// Package yuccapaddle defines the types that the scheduler's packages share and
// the interfaces with more than one implementation: the platform's key-value
// service, its host list, its workers, the placement policy and the clock.
//
// Implementations live below internal/. Types that are sent to another process
// or stored in the platform's service have exported fields, because
// encoding/json reads only those; other types keep their fields unexported.
package yuccapaddle
