package mangopool

import (
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

const (
	// LoadReportInterval is how often a scheduler requests load reports from its
	// engines.
	LoadReportInterval = time.Second
	// reportLag is how old the state shown by an engine's load report may be.
	reportLag = 1200 * time.Millisecond
)

// RecordLoad records the load report of an engine. Requests beyond the recorded and
// the recently ended leases are orphaned: their holder has ended or has lost the
// response.
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
	b.orphans, b.orphansAt = max(report.Running-running, 0), now
	b.orphanMemory = 0
	if b.orphans > 0 {
		b.orphanMemory = max(report.KVUsed-held, 0)
	}
}

// endedGeneration is a generation that ended recently.
type endedGeneration struct {
	held mangomodel.Tokens
	at   time.Time
}

// recordEnded keeps an ended generation for as long as load reports may count it.
func (b *backend) recordEnded(l *lease, now time.Time) {
	if l.demand.Generation == nil {
		return
	}
	for len(b.ended) > 0 && now.Sub(b.ended[0].at) >= reportLag {
		b.ended = b.ended[1:]
	}
	b.ended = append(b.ended, endedGeneration{held: l.generation(b.decodeRate, now).Held, at: now})
}
