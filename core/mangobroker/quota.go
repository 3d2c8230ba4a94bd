package mangobroker

import (
	"context"
	"time"

	"mangolane/core/mangofleet"
	"mangolane/core/mangopanic"
	"mangolane/core/mangoquota"
	"mangolane/core/mangoroster"
)

// quotaReport returns the report of quotas for a daemon, or nil if that isn't the
// accountant or nothing is limited.
func (b *Broker) quotaReport(at mangoroster.Member) *mangoquota.Report {
	m, ok := b.fleet.View().Accountant()
	if !ok || m.Holder != at.Holder {
		return nil
	}
	b.apply(mangofleet.ReportQuota{Accountant: at.Holder})
	return b.fleet.View().QuotaReport()
}

// renewQuota applies a report at this daemon, and returns its reply.
func (b *Broker) renewQuota(ctx context.Context, from mangoroster.Member, r *mangoquota.Report) *mangoquota.Loans {
	if r == nil {
		return nil
	}
	if err := b.fleet.Do(ctx, mangofleet.RenewQuota{Holder: from.Holder, Report: *r}); err != nil {
		return nil
	}
	return b.fleet.View().QuotaReply(from.Holder).Loans
}

// setQuota applies the reply to a report that was sent at a time.
func (b *Broker) setQuota(loans *mangoquota.Loans, sentAt time.Time) {
	if loans != nil {
		b.apply(mangofleet.SetQuota{Loans: *loans, SentAt: sentAt})
	}
}

// askQuotas asks the accountant for the costs of the calls that wait, until ctx ends.
// Calls that arrive while an ask is in flight are part of the next one.
func (b *Broker) askQuotas(ctx context.Context) {
	for {
		select {
		case <-b.fleet.QuotaWanted():
		case <-ctx.Done():
			return
		}
		b.apply(mangofleet.BeginQuotaAsk{})
		if ask := b.fleet.View().QuotaAsk(); ask != nil {
			b.apply(mangofleet.QuotaAnswered{Number: ask.Number, Answers: b.askQuota(ctx, *ask)})
		}
	}
}

// askQuota returns the accountant's answers, or nil if none arrived in time.
func (b *Broker) askQuota(ctx context.Context, ask mangofleet.QuotaAsk) []mangoquota.Answer {
	defer mangopanic.Catch(b.log, "quota ask")
	m, ok := b.fleet.View().Accountant()
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, mangoquota.AskTime)
	defer cancel()
	if m.Holder == b.self.Holder {
		if err := b.fleet.Do(ctx, mangofleet.GrantQuota{Ask: ask}); err != nil {
			return nil
		}
		return b.fleet.View().QuotaReply(b.self.Holder).Answers
	}
	answers, err := b.peers.AskQuota(ctx, m.Address, ask)
	if err != nil {
		return nil
	}
	return answers
}
