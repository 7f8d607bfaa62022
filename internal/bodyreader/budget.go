package bodyreader

import (
	"sync"
	"time"
)

const (
	// smallBytes is the size of the largest body that is taken from the share for small ones.
	smallBytes = 16 << 10
	// smallFraction is one over the fraction of the memory that only small bodies can take.
	smallFraction = 3
	// progressBytes and progressTime are the slowest progress of a body that is not cut off when
	// memory is short: so many bytes within that time.
	progressBytes = 4 << 10
	progressTime  = time.Second
)

// budget is the memory for bodies. A part of it is for small bodies alone.
type budget struct {
	mu           sync.Mutex
	small, large share
}

// share is one part of the memory, in bytes, and the bodies that are being read into it.
type share struct {
	limit, used int64
	reading     map[*lease]struct{}
}

// lease is the memory that one body takes.
type lease struct {
	share    *share
	bytes    int64
	cutOff   func()
	cut      bool
	progress int // bytes since dueBy was set
	dueBy    time.Time
}

func newBudget(bytes, largest int64) *budget {
	small := bytes / smallFraction
	return &budget{
		small: share{limit: small, reading: map[*lease]struct{}{}},
		large: share{limit: max(bytes-small, largest), reading: map[*lease]struct{}{}},
	}
}

// open returns a lease without memory. cutOff ends the reading of its body.
func (b *budget) open(cutOff func()) *lease {
	return &lease{cutOff: cutOff, dueBy: time.Now().Add(progressTime)}
}

// hold changes the memory of a body that is being read to n bytes.
func (b *budget) hold(l *lease, n int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(l, b.shareFor(n), int64(n))
}

// finish notes that a body has been read, and changes its memory to what its request takes
// while it is handled.
func (b *budget) finish(l *lease, n int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shareFor(n / workFactor)
	if err := b.take(l, s, int64(n)); err != nil {
		return err
	}
	delete(s.reading, l)
	return nil
}

// shareFor returns the share that a body of n bytes is taken from.
func (b *budget) shareFor(n int) *share {
	if n <= smallBytes {
		return &b.small
	}
	return &b.large
}

// take makes l hold n bytes of s. Bodies that make no progress are cut off if it needs their
// memory.
func (b *budget) take(l *lease, s *share, n int64) error {
	if l.cut {
		return errCut
	}
	held := int64(0)
	if l.share == s {
		held = l.bytes
	}
	for s.used-held+n > s.limit {
		if !s.cutSlowest(l) {
			return errFull
		}
	}
	if l.share != s {
		l.leave()
		s.reading[l] = struct{}{}
	}
	s.used += n - held
	l.share, l.bytes = s, n
	return nil
}

// cutSlowest cuts off the body whose progress is longest overdue, other than that of l, and
// reports whether there was one.
func (s *share) cutSlowest(l *lease) bool {
	now := time.Now()
	var slowest *lease
	for o := range s.reading {
		if o != l && now.After(o.dueBy) && (slowest == nil || o.dueBy.Before(slowest.dueBy)) {
			slowest = o
		}
	}
	if slowest == nil {
		return false
	}
	slowest.leave()
	slowest.cut = true
	slowest.cutOff()
	return true
}

// leave gives the memory of l back.
func (l *lease) leave() {
	if l.share == nil {
		return
	}
	l.share.used -= l.bytes
	delete(l.share.reading, l)
	l.share, l.bytes = nil, 0
}

// note notes that n bytes of a body have arrived, and reports whether that makes progressBytes
// since it last did.
func (b *budget) note(l *lease, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.progress += n; l.progress < progressBytes {
		return false
	}
	l.progress = 0
	l.dueBy = time.Now().Add(progressTime)
	return true
}

// wasCut reports whether the reading of a body was ended for lack of progress.
func (b *budget) wasCut(l *lease) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return l.cut
}

// release gives back what a request has taken.
func (b *budget) release(l *lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.leave()
}
