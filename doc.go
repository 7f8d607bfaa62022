// Package yuccapaddle defines the types that the project's packages share and the
// interfaces with more than one implementation, such as the platform's key-value
// stores, its workers, the placement policy and the clock.
//
// Implementations live below internal/ and platform/. Types that are sent to another
// process or stored in the platform's service have exported fields, because
// encoding/json reads only those; other types export the fields that other packages
// use.
package yuccapaddle
