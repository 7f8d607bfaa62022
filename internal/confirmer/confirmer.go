// Package confirmer lets many callers share the answers to one question of which each needs
// an answer that was asked for after its call.
package confirmer

import (
	"context"
	"sync"
)

// Confirmer asks a question for any number of callers, at most once at a time.
type Confirmer struct {
	ask     func() error
	start   func(func() error)
	mu      sync.Mutex
	running bool
	next    *round // for the callers that have come since the present question was asked
}

// round is one question with its answer, which is there once done is closed.
type round struct {
	done chan struct{}
	err  error
}

// New returns a Confirmer. ask asks the question; start starts a function in the background.
func New(ask func() error, start func(func() error)) *Confirmer {
	return &Confirmer{ask: ask, start: start}
}

// Confirm returns the answer to a question that is asked after the call, or the error of the
// context if that ends before.
func (c *Confirmer) Confirm(ctx context.Context) error {
	r := c.join()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns the round of which the question will be asked next.
func (c *Confirmer) join() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
	}
	if !c.running {
		c.running = true
		c.start(c.run)
	}
	return c.next
}

// run asks the question until nobody waits for an answer.
func (c *Confirmer) run() error {
	for {
		r := c.take()
		if r == nil {
			return nil
		}
		r.err = c.ask()
		close(r.done)
	}
}

// take returns the round of which the question is to be asked now, nil if nobody waits.
func (c *Confirmer) take() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.next
	c.next = nil
	c.running = r != nil
	return r
}
