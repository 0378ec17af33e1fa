package httpplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
)

// errWatchIdle is the cause of cancellation of a watch that received nothing within the idle limit.
var errWatchIdle = errors.New("no event or bookmark within the idle limit")

// Watch implements objectstore.Store. It passes bookmarks to handle too. When the connection fails or the idle limit passes,
// it returns ErrUnavailable; the caller resumes from the last revision that it handled.
func (c *Client) Watch(ctx context.Context, kinds []string, from uint64, handle func(apitypes.Event) error) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return rateLimitError(ctx, err)
	}
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(c.watchIdle, func() { cancel(errWatchIdle) })
	defer idle.Stop()
	r, err := c.newRequest(watchCtx, request{method: http.MethodGet, path: "/watch", query: url.Values{
		"kinds": {strings.Join(kinds, ",")}, "from": {strconv.FormatUint(from, 10)},
	}}, cachedResponse{})
	if err != nil {
		return err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return transportError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	decoder := json.NewDecoder(resp.Body)
	for {
		var e apitypes.Event
		if err := decoder.Decode(&e); err != nil {
			return watchError(ctx, watchCtx, err)
		}
		idle.Stop() // the time that handle takes says nothing about the connection
		if err := handle(e); err != nil {
			return err
		}
		idle.Reset(c.watchIdle)
	}
}

func watchError(ctx, watchCtx context.Context, err error) error {
	if ctx.Err() == nil && errors.Is(context.Cause(watchCtx), errWatchIdle) {
		err = errWatchIdle
	}
	return errors.Wrap(transportError(ctx, err), "watch objects")
}
