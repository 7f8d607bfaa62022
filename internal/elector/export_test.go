package elector

// Timing from which tests derive their bounds.
const (
	CallTimeout        = callTimeout
	RelockTimeout      = relockTimeout
	RenewInterval      = renewInterval
	RenewRetryInterval = renewRetryInterval
)
