package rockengine

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlock is the number of words in a block of a prompt; a prefix hash ends at each block.
const PrefixBlock = 16

// PrefixHashes returns the hashes of the prompt's prefixes as they appear in cache events, one for
// each complete block of words.
func PrefixHashes(prompt string) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	n := 0
	for word := range strings.FieldsSeq(prompt) {
		// Hash.Write never returns an error.
		_, _ = digest.WriteString(word)
		_, _ = digest.WriteString("\n")
		if n++; n%PrefixBlock == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes
}
