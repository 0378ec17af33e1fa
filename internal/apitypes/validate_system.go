package apitypes

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

// keyHashBytes is the length in bytes of a key's hash, an HMAC-SHA-256.
const keyHashBytes = 32

// Validate returns all invalid fields of a shard of keys. Without this check, a shard whose list is missing would withdraw all its
// keys, and a shard that lists a hash twice could make a withdrawn key valid again.
func (s *KeySet) Validate() []error {
	var errs fieldErrors
	if s.Keys == nil {
		errs.add("keys", "restore the list of keys", "is missing")
	}
	ids, hashes := make(map[string]bool, len(s.Keys)), make(map[string]bool, len(s.Keys))
	for i, k := range s.Keys {
		field := fmt.Sprintf("keys[%d]", i)
		errs.checkNotEmpty(field+".id", k.ID)
		errs.checkNotEmpty(field+".team", k.Team)
		if b, err := hex.DecodeString(k.Hash); err != nil || len(b) != keyHashBytes || k.Hash != strings.ToLower(k.Hash) {
			errs.add(field+".hash", "restore the hash of the key", "is not a hash of %d bytes in lower-case hexadecimal", keyHashBytes)
		}
		if ids[k.ID] || hashes[k.Hash] {
			errs.add(field, "remove the duplicate", "id or hash is listed twice")
		}
		ids[k.ID], hashes[k.Hash] = true, true
		errs.checkNotNegative(field+".issued_at", float64(k.IssuedAt))
		errs.checkNotNegative(field+".withdrawn_at", float64(k.WithdrawnAt))
	}
	return errs
}

var (
	// orderKinds are the valid kinds of an order.
	orderKinds = []OrderKind{OrderSetRole, OrderLoadModel, OrderLoadAdapter, OrderSetVersion, OrderDrain, OrderResume, OrderClean, OrderAdd, OrderRemove}
	// intentStates are the valid states of an intent.
	intentStates = []IntentState{IntentPending, IntentDone, IntentRefused, IntentAmbiguous}
)

// Validate returns all invalid fields of the orders of a pool.
func (o *PoolOrders) Validate() []error {
	var errs fieldErrors
	for i, intent := range o.Intents {
		field := fmt.Sprintf("intents[%d]", i)
		errs.checkNotEmpty(field+".order.id", intent.Order.ID)
		if !slices.Contains(orderKinds, intent.Order.Kind) {
			errs.add(field+".order.kind", "restore the kind of the order", "%q is not an order kind", intent.Order.Kind)
		}
		if intent.Order.Kind != OrderAdd {
			errs.checkNotEmpty(field+".order.endpoint", intent.Order.Endpoint)
		}
		if !slices.Contains(intentStates, intent.State) {
			errs.add(field+".state", "restore the state of the intent", "%q is not an intent state", intent.State)
		}
	}
	for i, name := range o.Abandoned {
		errs.checkNotEmpty(fmt.Sprintf("abandoned[%d]", i), name)
	}
	for name := range o.Drained {
		errs.checkNotEmpty("drained", name)
	}
	for name, cleanedAt := range o.Cleaned {
		errs.checkNotEmpty("cleaned", name)
		errs.checkNotNegative("cleaned."+name, float64(cleanedAt))
	}
	return errs
}
