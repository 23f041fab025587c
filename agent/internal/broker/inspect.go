package broker

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/sched"
)

// loadEnded handles the result of a load. A success that another engine process than the current one
// reported is treated as lost, because it does not show what the current one has loaded.
func (br *Broker) loadEnded(ctx context.Context, or *orderResult, now time.Time) {
	result := or.result
	if result == sched.Done && or.boot != br.engineBoot {
		result = sched.Lost
	}
	br.executeActions(ctx, br.sc.LoadEnded(or.handle, result, now))
	br.inspectIfRestarted(ctx, or.boot, now)
}

// inspectIfRestarted requests an inspection if an answer came from another engine process than the
// current one.
func (br *Broker) inspectIfRestarted(ctx context.Context, boot string, now time.Time) {
	if boot != "" && boot != br.engineBoot {
		br.executeActions(ctx, br.sc.Reinspect(now))
	}
}

// handleInspection handles the engine's answer to an inspection.
func (br *Broker) handleInspection(ctx context.Context, in *inspectionResult, now time.Time) {
	br.inspecting = false
	if in.err != nil {
		br.lg.Warn().Str("error", in.err.Error()).Msg("inspection_failed")
		return
	}
	if in.iv.Boot != br.engineBoot {
		br.lg.Info().Str("engine_boot", in.iv.Boot).Str("earlier_boot", br.engineBoot).Msg("engine_started")
		br.engineBoot = in.iv.Boot
		br.executeActions(ctx, br.sc.EngineRestarted(now))
		br.stateChanged = true
	}
	held := make([]sched.Held, 0, len(in.iv.Held))
	for _, he := range in.iv.Held {
		held = append(held, sched.Held{Handle: he.Handle, Running: he.Running, Ready: he.Ready})
	}
	br.executeActions(ctx, br.sc.InspectionDone(held, in.iv.Fence, now))
}
