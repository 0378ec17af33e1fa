package endpoint

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the assumed mean length of a token in bytes. Gateways don't tokenize prompts.
	BytesPerToken = 4
	// BlockBytes is the number of prompt bytes in one prefix block; it equals balancer.BlockTokens tokens.
	BlockBytes = 16 * BytesPerToken
)

// EstimateTokens returns the estimated number of tokens of a prompt.
func EstimateTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// PrefixBlocks returns the chained hashes of the full blocks of a prompt, salted per team. Engines publish the same
// hashes in their cache events.
func PrefixBlocks(salt, prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/BlockBytes)
	previous := xxhash.Sum64String(salt)
	var chain [8]byte
	for ; len(prompt) >= BlockBytes; prompt = prompt[BlockBytes:] {
		binary.LittleEndian.PutUint64(chain[:], previous)
		d := xxhash.New()
		d.Write(chain[:])
		d.WriteString(prompt[:BlockBytes])
		previous = d.Sum64()
		blocks = append(blocks, previous)
	}
	return blocks
}
