package mangostage

import (
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// FencingToken numbers orders. A later order has a higher one.
type FencingToken uint64

const (
	// tokenBits is the size of a token: readers of JSON keep whole numbers of 53 bits
	// exact.
	tokenBits = 53
	// versionBits is how many bits of a token hold the version of its claim.
	versionBits = 42
)

// NewFencingToken returns the token of the claim with a version. A store that comes back
// from an older copy gives out versions again, so tokens of a later era are higher than all
// those of earlier ones. A claim without a token permits no order.
func NewFencingToken(era mangotraffic.Era, version uint64) (FencingToken, error) {
	limit := uint64(1) << versionBits
	if era == 0 {
		limit = 1 << tokenBits
	}
	if era >= 1<<(tokenBits-versionBits) || version >= limit {
		return 0, mangomodel.Faultf(mangomodel.StepConfigure, "", mangomodel.CodeInvalid, mangomodel.RunNot,
			"no fencing token is left for version %d of era %d", version, era)
	}
	return FencingToken(uint64(era)<<versionBits | version), nil
}
