package claim

import (
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/objectstore"
)

const (
	// outcomeReserve is room that new claims leave in a shard for the outcomes of claims in progress.
	outcomeReserve = 64 << 10
	firstBackoff   = 10 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// errFull refuses a new claim in a shard that has no room.
var errFull = errors.New("claim: the shard is full")

// operation is one change of a shard. Its apply function may be called several times, each time on fresh content, so it must
// tell its own earlier effect by the attempt id.
type operation struct {
	apply func(claims map[string]apitypes.Claim, now time.Time) (changed bool)
	// adds marks operations that may be refused when the shard is full.
	adds bool

	mu        sync.Mutex
	abandoned bool
	err       error
	done      chan struct{}
}

// shard is one object of claims. Operations that arrive while a write is in progress share the next write.
type shard struct {
	name string
	opts *Options

	mu      sync.Mutex
	queue   []*operation
	writing bool

	// known is the last content that was read or written; used by the writer only.
	known   map[string]apitypes.Claim
	version uint64
	fresh   bool
}

// do carries out an operation and waits for it until ctx ends. An operation that is given up may have taken effect or may
// still do so.
func (s *shard) do(ctx context.Context, op *operation) error {
	op.done = make(chan struct{})
	s.mu.Lock()
	s.queue = append(s.queue, op)
	if !s.writing {
		s.writing = true
		go s.write()
	}
	s.mu.Unlock()
	select {
	case <-op.done:
		return op.err
	case <-ctx.Done():
	}
	op.mu.Lock()
	defer op.mu.Unlock()
	select {
	case <-op.done:
		return op.err
	default:
	}
	op.abandoned = true
	return ctx.Err()
}

// write commits groups of operations until none is left.
func (s *shard) write() {
	backoff := firstBackoff
	var group []*operation
	for {
		s.mu.Lock()
		group = append(group, s.queue...)
		s.queue = nil
		group = slices.DeleteFunc(group, func(op *operation) bool { return op.isAbandoned() })
		if len(group) == 0 {
			s.writing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		err := s.commit(group)
		if err == nil {
			group, backoff = nil, firstBackoff
			continue
		}
		s.fresh = false
		if !errors.Is(err, objectstore.ErrConflict) {
			time.Sleep(backoff/2 + rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

func (op *operation) isAbandoned() bool {
	op.mu.Lock()
	defer op.mu.Unlock()
	return op.abandoned
}

func (op *operation) finish(err error) {
	op.mu.Lock()
	defer op.mu.Unlock()
	op.err = err
	close(op.done)
}

// commit applies a group and writes the shard once. On an error nothing is known of the write; the group is applied again to
// what the platform holds then.
func (s *shard) commit(group []*operation) error {
	cached := s.fresh
	if err := s.load(); err != nil {
		return err
	}
	now := s.opts.Now()
	claims, changed := s.applyAll(group, now)
	if !changed && cached {
		// Without a conditional write nothing confirms that the content is current, and other gateways write it too.
		s.fresh = false
		if err := s.load(); err != nil {
			return err
		}
		claims, changed = s.applyAll(group, now)
	}
	var refused []*operation
	if changed {
		data, err := encode(claims)
		if err != nil {
			return err
		}
		if len(data) > objectstore.MaxValueBytes-outcomeReserve {
			claims, refused, data, err = s.shrink(claims, group, now)
			if err != nil {
				return err
			}
		}
		if err := s.put(claims, data); err != nil {
			return err
		}
		s.opts.OnShardWrite(len(group) - len(refused))
	}
	for _, op := range group {
		if slices.Contains(refused, op) {
			op.finish(errFull)
			continue
		}
		op.finish(nil)
	}
	return nil
}

// applyAll applies a group to a copy of the known content.
func (s *shard) applyAll(group []*operation, now time.Time) (claims map[string]apitypes.Claim, changed bool) {
	claims = maps.Clone(s.known)
	s.prune(claims, now)
	for _, op := range group {
		changed = op.apply(claims, now) || changed
	}
	return claims, changed
}

// load reads the shard unless its content is known.
func (s *shard) load() error {
	if s.fresh {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	o, err := s.opts.Platform.Get(ctx, apitypes.KindClaims, s.name)
	if errors.Is(err, objectstore.ErrNotFound) {
		s.known, s.version, s.fresh = make(map[string]apitypes.Claim), 0, true
		return nil
	}
	if err != nil {
		return err
	}
	content, err := parseShard(o.Data)
	if err != nil {
		return err
	}
	s.known, s.version, s.fresh = content.Claims, o.Version, true
	return nil
}

func (s *shard) put(claims map[string]apitypes.Claim, data []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	version, err := s.opts.Platform.Put(ctx, apitypes.KindClaims, s.name, data, s.version)
	if err != nil {
		return err
	}
	s.known, s.version = claims, version
	return nil
}

// prune drops claims whose retention is over. Claims without an outcome never expire.
func (s *shard) prune(claims map[string]apitypes.Claim, now time.Time) {
	oldest := now.Add(-s.opts.Retention).UnixMilli()
	maps.DeleteFunc(claims, func(_ string, c apitypes.Claim) bool {
		return (c.State == apitypes.ClaimDone || c.State == apitypes.ClaimNotRun) && c.UpdatedAt < oldest
	})
}

// shrink drops the oldest bodies. When that is not enough it applies the group again without new claims, which are refused.
func (s *shard) shrink(claims map[string]apitypes.Claim, group []*operation, now time.Time) (map[string]apitypes.Claim, []*operation, []byte, error) {
	data, err := dropBodies(claims, objectstore.MaxValueBytes-outcomeReserve)
	if err != nil || len(data) <= objectstore.MaxValueBytes-outcomeReserve {
		return claims, nil, data, err
	}
	claims = maps.Clone(s.known)
	s.prune(claims, now)
	var refused []*operation
	for _, op := range group {
		if op.adds {
			refused = append(refused, op)
			continue
		}
		op.apply(claims, now)
	}
	data, err = dropBodies(claims, objectstore.MaxValueBytes)
	return claims, refused, data, err
}

// dropBodies removes the bodies of the oldest claims until the encoded shard is at most limit bytes, or none is left.
func dropBodies(claims map[string]apitypes.Claim, limit int) ([]byte, error) {
	data, err := encode(claims)
	if err != nil || len(data) <= limit {
		return data, err
	}
	var kept []apitypes.Claim
	for _, c := range claims {
		if c.BodyKept {
			kept = append(kept, c)
		}
	}
	slices.SortFunc(kept, func(a, b apitypes.Claim) int {
		return cmp.Or(cmp.Compare(a.UpdatedAt, b.UpdatedAt), cmp.Compare(a.Key, b.Key))
	})
	excess := len(data) - limit
	for _, c := range kept {
		if excess <= 0 {
			break
		}
		excess -= base64.StdEncoding.EncodedLen(len(c.Body))
		c.Body, c.BodyKept = nil, false
		claims[c.Key] = c
	}
	return encode(claims)
}

func encode(claims map[string]apitypes.Claim) ([]byte, error) {
	return json.Marshal(apitypes.ClaimShard{Claims: claims})
}

func parseShard(data []byte) (apitypes.ClaimShard, error) {
	var content apitypes.ClaimShard
	if err := json.Unmarshal(data, &content); err != nil {
		return content, errors.Wrap(err, "claim: the shard is not valid; restore its last version")
	}
	if content.Claims == nil {
		content.Claims = make(map[string]apitypes.Claim)
	}
	return content, nil
}
