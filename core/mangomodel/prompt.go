package mangomodel

import "github.com/cespare/xxhash/v2"

const (
	// bytesPerToken is the mean length of a token in text.
	bytesPerToken = 4
	// PrefixBlock is the number of tokens that one PrefixHash covers.
	PrefixBlock Tokens = 256
	// maxPrefixes bounds the hashes of one prompt.
	maxPrefixes = 64
)

// CountTokens estimates the number of tokens of a text.
func CountTokens(text string) Tokens {
	return Tokens((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// PrefixHashes returns the hashes of a prompt's whole blocks, each of the
// prompt from its start. At most the first 64 blocks are covered.
func PrefixHashes(prompt string) []PrefixHash {
	const block = int(PrefixBlock) * bytesPerToken
	var hashes []PrefixHash
	digest := xxhash.New()
	for len(prompt) >= block && len(hashes) < maxPrefixes {
		// A digest's writes never fail.
		_, _ = digest.WriteString(prompt[:block])
		hashes = append(hashes, PrefixHash(digest.Sum64()))
		prompt = prompt[block:]
	}
	return hashes
}

// FirstPrefix returns the first hash, or zero when there is none.
func FirstPrefix(hashes []PrefixHash) PrefixHash {
	if len(hashes) == 0 {
		return 0
	}
	return hashes[0]
}

// FingerprintOf hashes the content of a request, so that resends of it are
// recognised.
func FingerprintOf(ws WorkspaceID, content string) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(ws))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(content)
	return Fingerprint(digest.Sum64())
}
