package endpoint

import (
	"encoding/binary"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the assumed mean length of a token in bytes, since gateways don't tokenize prompts.
	BytesPerToken = 4
	// BlockBytes is the number of prompt bytes in one prefix block; it equals balancer.TokensPerBlock tokens.
	BlockBytes = 16 * BytesPerToken
)

// EstimateTokens returns the estimated number of tokens of a prompt.
func EstimateTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// PrefixBlocks returns the chained hashes of the full blocks of a prompt, salted per team. Engines publish the same hashes in their
// cache events.
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

// Message is one message of a chat request.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ChatText returns the prompt text of a chat for EstimateTokens and PrefixBlocks. Content that is not a string is included as JSON.
func ChatText(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		var text string
		if json.Unmarshal(m.Content, &text) != nil {
			text = string(m.Content)
		}
		b.WriteString(m.Role + ": " + text + "\n")
	}
	return b.String()
}
