package rocklookup

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// TokenDigest returns the lower-case hexadecimal SHA-256 of a token, which identifies a caller.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Caller returns the caller with this lower-case hexadecimal SHA-256 of its token, or the reason
// for a refusal.
func Caller(s *rocktable.Snapshot, tokenSHA256 string) (rocktable.CallerID, rockreason.Code) {
	// Without a configuration every token is unknown. NotReady distinguishes this from a wrong token.
	if s.ConfigVersion == 0 {
		return 0, rockreason.NotReady
	}
	id, ok := s.Callers[tokenSHA256]
	if !ok {
		return 0, rockreason.Unauthorized
	}
	return id, ""
}

// Pipeline returns the pipeline that runs a model, or the reason for a refusal.
func Pipeline(s *rocktable.Snapshot, model string) (rocktable.PipelineID, rockreason.Code) {
	id, ok := s.Models[model]
	if !ok {
		return 0, rockreason.UnknownModel
	}
	return id, ""
}

// Rank returns the rank with this name if the caller may use it, or the reason for a refusal. An
// empty name means the first of the caller's ranks.
func Rank(s *rocktable.Snapshot, caller rocktable.CallerID, name string) (rocktable.RankID, rockreason.Code) {
	allowed := s.CallerConfigs[caller].Ranks
	if name == "" {
		// A caller without a list of ranks has no default: any choice would either favour the
		// caller or delay it.
		if len(allowed) == 0 {
			return 0, rockreason.BadField
		}
		name = allowed[0]
	}
	id, ok := s.Ranks[name]
	if !ok {
		return 0, rockreason.UnknownRank
	}
	if len(allowed) > 0 && !slices.Contains(allowed, name) {
		return 0, rockreason.RankNotAllowed
	}
	return id, ""
}

// Target is the service of a call and whether the call may run more than once.
type Target struct {
	Service    rocktable.ServiceID
	Idempotent bool
}

// Service returns the target of a call, or the reason for a refusal. A call that is not idempotent
// needs an idempotency key.
func Service(s *rocktable.Snapshot, name string, readOnly bool, idempotencyKey string) (Target, rockreason.Code) {
	id, ok := s.Services[name]
	if !ok {
		return Target{}, rockreason.UnknownService
	}
	isNamed := func(cfg rocktable.ServiceConfig) bool { return cfg.Name == name }
	t := Target{Service: id, Idempotent: readOnly}
	if i := slices.IndexFunc(s.Config.Services, isNamed); i >= 0 {
		t.Idempotent = readOnly || s.Config.Services[i].Idempotent
	}
	if !t.Idempotent && idempotencyKey == "" {
		return Target{}, rockreason.MissingKey
	}
	return t, ""
}
