package mangomodel

import "github.com/cespare/xxhash/v2"

const (
	// bytesPerToken is the assumed mean length of a token, in bytes of text.
	bytesPerToken = 4
	// prefixBlock is the number of tokens that the first PrefixHash covers.
	prefixBlock Tokens = 256
	// maxPrefixes bounds the hashes of one prompt. Eight cover 32,768 tokens.
	maxPrefixes = 8
)

// CountTokens estimates the number of tokens of a text.
func CountTokens(text string) Tokens {
	return Tokens((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// PrefixTokens returns how many tokens the i-th hash of a prompt covers, from
// the prompt's start: 256, 512, 1024 and so on. Doubling limits the number of
// hashes of a long prompt.
func PrefixTokens(i int) Tokens { return prefixBlock << i }

// PrefixHashes returns the hashes of a prompt's prefixes. The i-th covers
// PrefixTokens(i) tokens; prefixes longer than the prompt have none.
func PrefixHashes(prompt string) []PrefixHash {
	var hashes []PrefixHash
	digest := xxhash.New()
	hashed := 0
	for i := range maxPrefixes {
		end := int(PrefixTokens(i)) * bytesPerToken
		if end > len(prompt) {
			break
		}
		// A digest's writes never fail.
		_, _ = digest.WriteString(prompt[hashed:end])
		hashes = append(hashes, PrefixHash(digest.Sum64()))
		hashed = end
	}
	return hashes
}

// AffinityOf returns a hash that selects the shard of a request. Requests with
// a common first prefix get the same hash; requests too short for one are
// distributed by their fingerprint.
func AffinityOf(prefixes []PrefixHash, f Fingerprint) uint64 {
	if len(prefixes) == 0 {
		return uint64(f)
	}
	return uint64(prefixes[0])
}

// FingerprintOf hashes the workspace and the content of a request, so that a
// request that the caller sends again can be recognised.
func FingerprintOf(ws WorkspaceID, content string) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(ws))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(content)
	return Fingerprint(digest.Sum64())
}
