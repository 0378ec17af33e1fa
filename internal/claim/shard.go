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
	// outcomeReserveBytes is the space in a shard that new claims can't use, so that outcomes of claims in progress can be stored.
	outcomeReserveBytes = 64 << 10
	initialBackoff      = 10 * time.Millisecond
	maxBackoff          = 2 * time.Second
)

// errFull is returned for a new claim when the shard has no space for it.
var errFull = errors.New("claim: shard is full")

// operation is one change of a shard. apply may be called several times, each time on newly read claims that may contain its own
// earlier change; it recognizes that change by the attempt id.
type operation struct {
	apply func(claims map[string]apitypes.Claim, now time.Time) (changed bool)
	// addsClaim is set for operations that are refused when the shard is full.
	addsClaim bool

	mu sync.Mutex
	// abandoned is set when the caller has stopped waiting.
	abandoned bool
	err       error
	done      chan struct{}
}

// shard is the client of one stored object that holds many claims. Operations that arrive while a write is in progress are batched
// into the next write.
type shard struct {
	name string
	opts *Options

	mu      sync.Mutex
	queue   []*operation
	writing bool

	// claims and version are the last content that was read or written. loaded is false when they must be read again.
	// Only writeLoop uses these fields.
	claims  map[string]apitypes.Claim
	version uint64
	loaded  bool
}

// execute queues an operation and waits until it is complete or ctx ends. When ctx ends first, the operation may have taken effect
// or may still do so.
func (s *shard) execute(ctx context.Context, op *operation) error {
	op.done = make(chan struct{})
	s.mu.Lock()
	s.queue = append(s.queue, op)
	if !s.writing {
		s.writing = true
		go s.writeLoop()
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

// writeLoop commits the queued operations in batches until the queue is empty, and retries after errors.
func (s *shard) writeLoop() {
	backoff := initialBackoff
	var batch []*operation
	for {
		s.mu.Lock()
		batch = append(batch, s.queue...)
		s.queue = nil
		batch = slices.DeleteFunc(batch, func(op *operation) bool { return op.isAbandoned() })
		if len(batch) == 0 {
			s.writing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		err := s.commit(batch)
		if err == nil {
			batch, backoff = nil, initialBackoff
			continue
		}
		s.loaded = false
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

func (op *operation) complete(err error) {
	op.mu.Lock()
	defer op.mu.Unlock()
	op.err = err
	close(op.done)
}

// commit applies a batch of operations, writes the shard once and completes the operations. After an error the write may or may not
// have taken effect; the caller commits the batch again on content that is read anew.
func (s *shard) commit(batch []*operation) error {
	wasLoaded := s.loaded
	if err := s.load(); err != nil {
		return err
	}
	now := s.opts.Now()
	claims, changed := s.applyBatch(batch, now)
	if !changed && wasLoaded {
		// Other gateways write the shard too, and without a conditional write nothing confirms that the cached content is current.
		s.loaded = false
		if err := s.load(); err != nil {
			return err
		}
		claims, changed = s.applyBatch(batch, now)
	}
	var refused []*operation
	if changed {
		data, err := encodeShard(claims)
		if err != nil {
			return err
		}
		if len(data) > objectstore.MaxValueBytes-outcomeReserveBytes {
			claims, refused, data, err = s.fitToLimit(claims, batch, now)
			if err != nil {
				return err
			}
		}
		if err := s.put(claims, data); err != nil {
			return err
		}
		s.opts.OnShardWrite(len(batch) - len(refused))
	}
	for _, op := range batch {
		if slices.Contains(refused, op) {
			op.complete(errFull)
			continue
		}
		op.complete(nil)
	}
	return nil
}

// applyBatch applies a batch to a copy of the loaded claims without the expired ones.
func (s *shard) applyBatch(batch []*operation, now time.Time) (claims map[string]apitypes.Claim, changed bool) {
	claims = maps.Clone(s.claims)
	s.pruneExpired(claims, now)
	for _, op := range batch {
		changed = op.apply(claims, now) || changed
	}
	return claims, changed
}

// load reads the shard unless it is loaded. A shard that is not stored is empty and has version 0.
func (s *shard) load() error {
	if s.loaded {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformCallTimeout)
	defer cancel()
	o, err := s.opts.Platform.Get(ctx, apitypes.KindClaims, s.name)
	if errors.Is(err, objectstore.ErrNotFound) {
		s.claims, s.version, s.loaded = make(map[string]apitypes.Claim), 0, true
		return nil
	}
	if err != nil {
		return err
	}
	content, err := parseShard(o.Data)
	if err != nil {
		return err
	}
	s.claims, s.version, s.loaded = content.Claims, o.Version, true
	return nil
}

// put writes the encoded claims if the stored shard still has the loaded version.
func (s *shard) put(claims map[string]apitypes.Claim, data []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), platformCallTimeout)
	defer cancel()
	version, err := s.opts.Platform.Put(ctx, apitypes.KindClaims, s.name, data, s.version)
	if err != nil {
		return err
	}
	s.claims, s.version = claims, version
	return nil
}

// pruneExpired removes claims whose retention has passed. Claims that are in progress or unresolved never expire.
func (s *shard) pruneExpired(claims map[string]apitypes.Claim, now time.Time) {
	oldest := now.Add(-s.opts.Retention).UnixMilli()
	maps.DeleteFunc(claims, func(_ string, c apitypes.Claim) bool {
		return (c.State == apitypes.ClaimDone || c.State == apitypes.ClaimNotRun) && c.UpdatedAt < oldest
	})
}

// fitToLimit removes the oldest outcome bodies until the shard fits. When that is not enough, it applies the batch again without the
// operations that add claims and returns these as refused. It also returns the encoded claims.
func (s *shard) fitToLimit(claims map[string]apitypes.Claim, batch []*operation, now time.Time) (map[string]apitypes.Claim, []*operation, []byte, error) {
	data, err := dropBodies(claims, objectstore.MaxValueBytes-outcomeReserveBytes)
	if err != nil || len(data) <= objectstore.MaxValueBytes-outcomeReserveBytes {
		return claims, nil, data, err
	}
	claims = maps.Clone(s.claims)
	s.pruneExpired(claims, now)
	var refused []*operation
	for _, op := range batch {
		if op.addsClaim {
			refused = append(refused, op)
			continue
		}
		op.apply(claims, now)
	}
	data, err = dropBodies(claims, objectstore.MaxValueBytes)
	return claims, refused, data, err
}

// dropBodies removes outcome bodies, oldest first, until the encoded shard has at most limit bytes or no body is left. It returns the
// encoded shard.
func dropBodies(claims map[string]apitypes.Claim, limit int) ([]byte, error) {
	data, err := encodeShard(claims)
	if err != nil || len(data) <= limit {
		return data, err
	}
	var withBody []apitypes.Claim
	for _, c := range claims {
		if c.BodyKept {
			withBody = append(withBody, c)
		}
	}
	slices.SortFunc(withBody, func(a, b apitypes.Claim) int {
		return cmp.Or(cmp.Compare(a.UpdatedAt, b.UpdatedAt), cmp.Compare(a.Key, b.Key))
	})
	excess := len(data) - limit
	for _, c := range withBody {
		if excess <= 0 {
			break
		}
		excess -= base64.StdEncoding.EncodedLen(len(c.Body))
		c.Body, c.BodyKept = nil, false
		claims[c.Key] = c
	}
	return encodeShard(claims)
}

func encodeShard(claims map[string]apitypes.Claim) ([]byte, error) {
	return json.Marshal(apitypes.ClaimShard{Claims: claims})
}

func parseShard(data []byte) (apitypes.ClaimShard, error) {
	var content apitypes.ClaimShard
	if err := json.Unmarshal(data, &content); err != nil {
		return content, errors.Wrap(err, "claim: decode shard; restore its previous version")
	}
	if content.Claims == nil {
		content.Claims = make(map[string]apitypes.Claim)
	}
	return content, nil
}
