package rockstandin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// endTokenInterval is the average number of tokens per end token. An end token ends the answer.
const endTokenInterval = 512

// Tokenise returns one token for each word of a prompt, derived from a hash of the word.
func Tokenise(prompt string) []uint32 {
	var tokens []uint32
	for word := range strings.FieldsSeq(prompt) {
		tokens = append(tokens, uint32(xxhash.Sum64String(word)&0xffff))
	}
	return tokens
}

// TokenText returns the text of a token. Different tokens have different texts.
func TokenText(token uint32) string {
	const consonants, vowels = "bdfghjklmnprstvz", "aiou"
	return " " + string([]byte{
		consonants[token>>12&15], vowels[token>>10&3], consonants[token>>6&15],
		vowels[token>>4&3], consonants[token&15],
	})
}

// ExpectedTexts returns the texts of the tokens that a model generates for a prompt in a run without faults.
func ExpectedTexts(model string, layers int, prompt string, maxTokens int) []string {
	cache := make([]uint64, layers)
	seeds := layerSeeds(model, 0, layers-1)
	var texts []string
	position := 0
	next := Tokenise(prompt)
	for len(next) > 0 && len(texts) < maxTokens {
		var out uint64
		for _, token := range next {
			out = runLayers(seeds, cache, embed(token, position))
			position++
		}
		token := tokenOf(out)
		texts = append(texts, TokenText(token))
		if isEndToken(token) {
			break
		}
		next = []uint32{token}
	}
	return texts
}

// mix is the finaliser of SplitMix64: a bijection in which each input bit affects every output bit.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// embed returns the input activation of layer 0 for a token at a position.
func embed(token uint32, position int) uint64 {
	return mix(uint64(token)<<32 | uint64(uint32(position)))
}

// layerSeeds returns one word for each layer of a range, which stands for the layer's weights. The
// range includes last.
func layerSeeds(model string, first, last int) []uint64 {
	var seeds []uint64
	for layer := first; layer <= last; layer++ {
		seeds = append(seeds, xxhash.Sum64String(model+"/"+strconv.Itoa(layer)))
	}
	return seeds
}

// runLayers runs one position through a range of layers, updates their KV cache and returns the output
// activation. The KV cache has one word for each layer, which depends on every earlier position.
func runLayers(seeds, cache []uint64, activation uint64) uint64 {
	for i, seed := range seeds {
		cache[i] = mix(cache[i] ^ mix(activation^seed))
		activation = mix(activation + cache[i] ^ seed)
	}
	return activation
}

func tokenOf(activation uint64) uint32 { return uint32(activation >> 48) }

func isEndToken(token uint32) bool { return token%endTokenInterval == 0 }
