package main

import (
	"testing"

	"dunlintray/internal/planted"
)

// undoneRepairs are repairs that TestSecondCopiesSoak guards, by what is undone. No build of the gateway but
// that of the test has the edits.
var undoneRepairs = map[string][]planted.Edit{
	"each process takes the whole heap and the whole memory": {
		{File: "internal/gateway/resources.go", Old: "l.limitHeap(plan.heap)", New: "l.limitHeap(l.config.resourcePlan(1).heap)"},
		{File: "internal/gateway/gateway.go", Old: "metrics.bodies.SetTotal(plan.bodies)", New: "metrics.bodies.SetTotal(config.resourcePlan(1).bodies)"}},
	"a second attempt is not told that the body is gone": {
		{File: "internal/gateway/upload.go", Old: "	if u.reader != nil {\n		return errBodyConsumed\n	}\n", New: ""},
		{File: "internal/gateway/upload.go", Old: "	case u.reader != nil && u.reader != sender:\n		return errBodyConsumed // also at the end of the body, most of which the sender has not seen\n", New: ""},
		{File: "internal/gateway/request_body.go", Old: "f.loop.post(bodyConsumed{exchange})", New: ""}},
	"a whole response beside a streamed one is kept": {
		{File: "internal/gateway/loop.go", Old: "exchange.responseStarted && attempt.download == nil: // another", New: "false: // another"}},
	"a body waits for memory longer than its client": {
		{File: "internal/gateway/request_body.go", Old: "	ctx, cancel := context.WithTimeout(ctx, timeLeft)\n	defer cancel()\n", New: "	_ = timeLeft\n"}},
}

// The soak must name each repair that is undone, within UNDONE_SEEDS seeds. Without that number the edits are
// built only.
func TestUndoneRepairsAreNamed(t *testing.T) {
	seeds := soakNumber(t, "UNDONE_SEEDS", 0)
	for name, edits := range undoneRepairs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			program := planted.Build(t, name, "../..", ".", edits)
			for seed := 1; seed <= seeds; seed++ {
				if violations := newCopiesSoak(t, uint64(seed), program).run(); len(violations) > 0 {
					t.Logf("named at seed %d: %s", seed, violations[0])
					return
				}
			}
			if seeds > 0 {
				t.Errorf("not named in %d seeds", seeds)
			}
		})
	}
}
