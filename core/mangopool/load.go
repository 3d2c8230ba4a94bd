package mangopool

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// LoadReportInterval is how often a scheduler asks its engines what they run.
	LoadReportInterval = time.Second
	// reportLag is how old an engine's report of itself may be.
	reportLag = 1200 * time.Millisecond
)

// RecordLoad takes in what an engine reports of itself. What it runs beyond the
// known leases are generations whose holder is gone or lost the answer.
func (p *Pool) RecordLoad(id mangomodel.ServerID, report mangotraffic.LoadReport, now time.Time) {
	b, ok := p.backends[id]
	if !ok {
		return
	}
	running, held := len(b.runs), mangomodel.Tokens(0)
	for _, l := range b.runs {
		held += l.generation(b.decodeRate, now).Held
	}
	for _, e := range b.ended {
		if now.Sub(e.at) < reportLag {
			running++
			held += e.held
		}
	}
	b.ghosts, b.ghostsAt = max(report.Running-running, 0), now
	b.ghostMemory = 0
	if b.ghosts > 0 {
		b.ghostMemory = max(report.KVUsed-held, 0)
	}
}

// ended is a generation that ended lately.
type ended struct {
	held mangomodel.Tokens
	at   time.Time
}

// remember keeps an ended generation for as long as reports may count it.
func (b *backend) remember(l *lease, now time.Time) {
	if l.demand.Generation == nil {
		return
	}
	for len(b.ended) > 0 && now.Sub(b.ended[0].at) >= reportLag {
		b.ended = b.ended[1:]
	}
	b.ended = append(b.ended, ended{held: l.generation(b.decodeRate, now).Held, at: now})
}
