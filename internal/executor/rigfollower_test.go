package executor_test

import (
	"context"
	"fmt"
	"io"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"yuccapaddle"
	"yuccapaddle/internal/rulekeeper"
)

// follower is a host that is not active yet.
type follower struct {
	name  string
	rules *rulekeeper.RuleKeeper
	ctx   context.Context // of the host
	stop  context.CancelFunc
	log   *zap.Logger
	clock yuccapaddle.Clock
}

// follow starts the host that takes over next. Until then it only follows the rules.
func (r *rig) follow() {
	r.hosts++
	f := &follower{name: fmt.Sprintf("h%d", r.hosts), clock: r.clock}
	if f.clock == nil {
		f.clock = yuccapaddle.SystemClock{}
	}
	out := zapcore.AddSync(io.MultiWriter(testWriter{r.t}, &r.logs))
	f.log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, zap.InfoLevel))
	f.log = f.log.With(zap.String("host", f.name))
	f.rules = rulekeeper.New(r, 2500, f.clock, f.log)
	r.c.Assert(f.rules.Refresh(r.t.Context()), qt.IsNil)
	f.ctx, f.stop = context.WithCancel(r.t.Context())
	r.group.Go(func() error { return f.rules.Run(f.ctx, always, always) })
	r.next = f
}

// rigRole is the role of a host of a rig.
type rigRole struct {
	confirmed              func() bool
	predecessorRenewsUntil time.Time
}

// Confirmed implements yuccapaddle.Role.
func (r *rigRole) Confirmed() bool { return r.confirmed() }

// PredecessorRenewsUntil implements yuccapaddle.Role.
func (r *rigRole) PredecessorRenewsUntil() time.Time { return r.predecessorRenewsUntil }

// PredecessorLeasedUntil implements yuccapaddle.Role.
func (r *rigRole) PredecessorLeasedUntil() time.Time { return r.predecessorRenewsUntil }
