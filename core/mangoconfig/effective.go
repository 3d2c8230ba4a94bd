package mangoconfig

import (
	"encoding/hex"
	"net/netip"
	"slices"
	"strings"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoworkspace"
)

// DefaultCallTimeout bounds an application call without a configured timeout.
const DefaultCallTimeout = 10 * time.Second

// EffectiveWorkspace holds the parameters of a workspace, merged with those of
// its template.
type EffectiveWorkspace struct {
	ID      mangomodel.WorkspaceID
	Models  []mangomodel.ModelID
	Targets [mangomodel.Ranks]Targets
	Calls   []Call
	Weight  int
	key     mangoworkspace.Digest
}

// KeyMatches reports whether a digest is that of the workspace's key.
func (e EffectiveWorkspace) KeyMatches(key mangoworkspace.Digest) bool { return e.key.Matches(key) }

// HasModel reports whether the workspace may use a model.
func (e EffectiveWorkspace) HasModel(model mangomodel.ModelID) bool {
	return slices.Contains(e.Models, model)
}

// Call returns the call with the given name.
func (e EffectiveWorkspace) Call(name mangomodel.CallName) (Call, bool) {
	i := slices.IndexFunc(e.Calls, func(c Call) bool { return c.Name == name })
	if i < 0 {
		return Call{}, false
	}
	return e.Calls[i], true
}

// DefaultPool returns the parameters of a pool that has no document.
func DefaultPool(model mangomodel.ModelID) Pool {
	return Pool{
		Model:           model,
		BasicFloor:      0.1,
		UrgentReserve:   0.2,
		ShardServers:    defaultShardServers,
		PieceTokens:     2000,
		KVBytesPerToken: 128 << 10,
		LinkRate:        10 << 30,
	}
}

// overlay merges the settings of a workspace with those of its template and
// validates the result.
func overlay(t Template, w Workspace) (EffectiveWorkspace, error) {
	s := merge(t.Settings, w.Settings)
	e := EffectiveWorkspace{ID: w.ID, Models: s.Models, Calls: s.Calls, Weight: max(s.Weight, 1)}
	if s.Urgent == nil || s.Basic == nil {
		return e, invalid("workspace %q: Urgent and Basic targets are required", w.ID)
	}
	e.Targets = [mangomodel.Ranks]Targets{mangomodel.RankUrgent: *s.Urgent, mangomodel.RankBasic: *s.Basic}
	hash, err := hex.DecodeString(s.KeyHash)
	if err != nil || len(hash) != len(e.key) {
		return e, invalid("workspace %q: KeyHash must be 64 hexadecimal digits", w.ID)
	}
	copy(e.key[:], hash)
	return e, checkEffective(e, s.Weight)
}

func merge(base, over Settings) Settings {
	if over.Models != nil {
		base.Models = over.Models
	}
	if over.Urgent != nil {
		base.Urgent = over.Urgent
	}
	if over.Basic != nil {
		base.Basic = over.Basic
	}
	if over.Calls != nil {
		base.Calls = over.Calls
	}
	if over.KeyHash != "" {
		base.KeyHash = over.KeyHash
	}
	if over.Weight != 0 {
		base.Weight = over.Weight
	}
	return base
}

func checkEffective(e EffectiveWorkspace, weight int) error {
	if weight < 0 {
		return invalid("workspace %q: Weight is negative", e.ID)
	}
	for rank, t := range e.Targets {
		if t.TTFT <= 0 || t.TPOT <= 0 {
			return invalid("workspace %q: %s targets must be positive", e.ID, mangomodel.Rank(rank))
		}
	}
	return checkCalls(string(e.ID), e.Calls)
}

// checkCalls validates the calls of the document with the given id.
func checkCalls(id string, calls []Call) error {
	seen := make(map[mangomodel.CallName]bool, len(calls))
	for _, c := range calls {
		if err := checkCall(id, c); err != nil {
			return err
		}
		if seen[c.Name] {
			return invalid("%q: duplicate call %q", id, c.Name)
		}
		seen[c.Name] = true
	}
	return nil
}

func checkCall(id string, c Call) error {
	switch {
	case c.Name == "" || c.Service == "":
		return invalid("%q: a call needs a Name and a Service", id)
	case !strings.HasPrefix(c.Path, "/"):
		return invalid("%q: call %q: Path must start with /", id, c.Name)
	case c.NonIdempotent == nil:
		return invalid("%q: call %q: NonIdempotent must be given", id, c.Name)
	case c.Timeout < 0:
		return invalid("%q: call %q: Timeout is negative", id, c.Name)
	}
	return nil
}

func checkHost(h Host) error {
	if _, err := netip.ParseAddrPort(string(h.Address)); err != nil {
		return invalid("host %q: Address must be an IP address and a port: %v", h.ID, err)
	}
	if h.DataCentre == "" || h.Region == "" || h.Model == "" {
		return invalid("host %q: Region, DataCentre and Model are required", h.ID)
	}
	if h.Slots <= 0 {
		return invalid("host %q: Slots must be positive", h.ID)
	}
	if h.Role == mangomodel.RoleDecode && h.Pieces <= 0 {
		return invalid("host %q: a decode server needs Pieces", h.ID)
	}
	if h.PrefillRate < 0 {
		return invalid("host %q: PrefillRate is negative", h.ID)
	}
	return nil
}

func checkPool(p Pool) error {
	switch {
	case p.BasicFloor < 0 || p.UrgentReserve < 0 || p.BasicFloor+p.UrgentReserve >= 1:
		return invalid("pool %q: BasicFloor and UrgentReserve must add up to less than 1", p.Model)
	case p.ShardServers < 0:
		return invalid("pool %q: ShardServers is negative", p.Model)
	case p.PieceTokens <= 0 || p.KVBytesPerToken <= 0 || p.LinkRate <= 0:
		return invalid("pool %q: PieceTokens, KVBytesPerToken and LinkRate must be positive", p.Model)
	}
	return nil
}
