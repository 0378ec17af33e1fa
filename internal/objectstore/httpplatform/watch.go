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

// errWatchIdle ends a watch whose connection is silent.
var errWatchIdle = errors.New("no event or bookmark within the idle limit")

// Watch implements platform.Store. Bookmarks reach handle too. A watch that is cut or silent returns ErrUnavailable; the
// caller starts again after the last revision that it handled.
func (c *Client) Watch(ctx context.Context, kinds []string, from uint64, handle func(apitypes.Event) error) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return limitError(ctx, err)
	}
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(c.idle, func() { cancel(errWatchIdle) })
	defer idle.Stop()
	r, err := c.newRequest(watchCtx, request{method: http.MethodGet, path: "/watch", query: url.Values{
		"kinds": {strings.Join(kinds, ",")}, "from": {strconv.FormatUint(from, 10)},
	}})
	if err != nil {
		return err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return lost(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return answerError(resp)
	}
	decoder := json.NewDecoder(resp.Body)
	for {
		var e apitypes.Event
		if err := decoder.Decode(&e); err != nil {
			return watchEnd(ctx, watchCtx, err)
		}
		idle.Reset(c.idle)
		if err := handle(e); err != nil {
			return err
		}
	}
}

func watchEnd(ctx, watchCtx context.Context, err error) error {
	if ctx.Err() == nil && errors.Is(context.Cause(watchCtx), errWatchIdle) {
		err = errWatchIdle
	}
	return errors.Wrap(lost(ctx, err), "watch ended")
}
