package mangofleet

import (
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquota"
	"mangolane/core/mangoroster"
)

// QuotaWanted is signalled when calls wait for an ask: [BeginQuotaAsk] then makes one.
func (f *Fleet) QuotaWanted() <-chan struct{} { return f.quotaWanted }

// QuotaAsk returns the ask in flight, or nil.
func (v *View) QuotaAsk() *QuotaAsk { return v.quotaAsk }

// QuotaReport returns this daemon's last report, or nil if nothing is limited.
func (v *View) QuotaReport() *mangoquota.Report { return v.quotaReport }

// QuotaReply returns what this daemon has replied to another one as the accountant.
func (v *View) QuotaReply(h mangomodel.Holder) QuotaReply {
	r, _ := v.quotaReplies.Get(quotaHolder(h))
	return r
}

// Accountant returns the daemon that counts what the workspaces use, if any is limited.
func (v *View) Accountant() (mangoroster.Member, bool) {
	return v.accountant, v.accountant.Holder.Daemon != ""
}
