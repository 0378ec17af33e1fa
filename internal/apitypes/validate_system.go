package apitypes

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

// keyHashBytes is the length of a key's hash, an HMAC-SHA-256.
const keyHashBytes = 32

// Validate returns every impossible value in a shard of keys. A shard that lost its list would otherwise withdraw all its keys, and one
// with a hash twice could bring a withdrawn key back.
func (s *KeySet) Validate() []error {
	var m mistakes
	if s.Keys == nil {
		m.add("keys", "restore the list of keys", "is missing")
	}
	ids, hashes := make(map[string]bool, len(s.Keys)), make(map[string]bool, len(s.Keys))
	for i, k := range s.Keys {
		field := fmt.Sprintf("keys[%d]", i)
		m.checkText(field+".id", k.ID)
		m.checkText(field+".team", k.Team)
		if b, err := hex.DecodeString(k.Hash); err != nil || len(b) != keyHashBytes || k.Hash != strings.ToLower(k.Hash) {
			m.add(field+".hash", "restore the hash of the key", "is no hash of %d bytes in lower-case hexadecimal", keyHashBytes)
		}
		if ids[k.ID] || hashes[k.Hash] {
			m.add(field, "remove the repetition", "id or hash is listed twice")
		}
		ids[k.ID], hashes[k.Hash] = true, true
		m.checkNotNegative(field+".issued_at", float64(k.IssuedAt))
		m.checkNotNegative(field+".withdrawn_at", float64(k.WithdrawnAt))
	}
	return m
}

var (
	orderKinds = []OrderKind{OrderSetRole, OrderLoadModel, OrderLoadAdapter, OrderSetVersion, OrderDrain, OrderResume, OrderClean, OrderAdd, OrderRemove}
	// intentStates are the states that an intent can have.
	intentStates = []IntentState{IntentPending, IntentDone, IntentRefused, IntentAmbiguous}
)

// Validate returns every impossible value in the orders of a pool.
func (o *PoolOrders) Validate() []error {
	var m mistakes
	for i, intent := range o.Intents {
		field := fmt.Sprintf("intents[%d]", i)
		m.checkText(field+".order.id", intent.Order.ID)
		if !slices.Contains(orderKinds, intent.Order.Kind) {
			m.add(field+".order.kind", "restore the kind of the order", "%q is not a kind of order", intent.Order.Kind)
		}
		if intent.Order.Kind != OrderAdd {
			m.checkText(field+".order.endpoint", intent.Order.Endpoint)
		}
		if !slices.Contains(intentStates, intent.State) {
			m.add(field+".state", "restore the state of the intent", "%q is not a state", intent.State)
		}
	}
	for i, name := range o.Abandoned {
		m.checkText(fmt.Sprintf("abandoned[%d]", i), name)
	}
	for name := range o.Drained {
		m.checkText("drained", name)
	}
	for name, at := range o.Cleaned {
		m.checkText("cleaned", name)
		m.checkNotNegative("cleaned."+name, float64(at))
	}
	return m
}
