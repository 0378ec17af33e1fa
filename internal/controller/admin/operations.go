package admin

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
	"google.golang.org/grpc"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/auth"
	"crocusglade.example/crocusglade/internal/claim"
	"crocusglade.example/crocusglade/internal/controller"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/peer/peerpb"
)

// eachGateway calls f concurrently with the index of each VM and a client of its gateway, and waits for all calls. Each call has
// the timeout statusTimeout. VMs that can't be dialled are skipped.
func (s *Server) eachGateway(ctx context.Context, vms []apitypes.VM, f func(context.Context, int, peerpb.GatewayClient)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, vm := range vms {
		gateway, err := s.DialGateway(vm)
		if err != nil {
			continue
		}
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			f(callCtx, i, gateway)
		})
	}
}

// gatewayView is the state of a gateway in the response to /status. The other fields are zero when it is not reachable.
type gatewayView struct {
	Reachable     bool   `json:"reachable"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	Revision      uint64 `json:"revision"`
	PlatformAgeMS int64  `json:"platform_age_ms"`
	InFlight      int32  `json:"in_flight"`
}

type vmView struct {
	Name          string           `json:"name"`
	FailureDomain string           `json:"failure_domain"`
	State         apitypes.VMState `json:"state"`
	Gateway       gatewayView      `json:"gateway"`
	Controller    struct {
		Reachable bool `json:"reachable"`
	} `json:"controller"`
}

type dutyView struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

func (s *Server) status(c echo.Context) error {
	ctx, snapshot, vms := c.Request().Context(), s.Config.Current(), s.Members.All()
	views := make([]vmView, len(vms))
	for i, vm := range vms {
		views[i] = vmView{Name: vm.Name, FailureDomain: vm.FailureDomain, State: vm.State}
	}
	s.eachGateway(ctx, vms, func(ctx context.Context, i int, g peerpb.GatewayClient) {
		if st, err := g.GetStatus(ctx, &peerpb.StatusRequest{}); err == nil {
			views[i].Gateway = gatewayView{true, st.Ready, st.Draining, st.Revision, st.PlatformAgeMs, st.InFlight}
		}
	})
	s.eachController(ctx, vms, func(ctx context.Context, i int, conn grpc.ClientConnInterface) {
		views[i].Controller.Reachable = controllerReachable(ctx, conn)
	})
	duties := []dutyView{}
	// The status is most needed in an outage, so it is returned without duties when the platform does not respond.
	if leases, err := listObjects[apitypes.Lease](ctx, s, apitypes.KindLease); err == nil {
		for _, name := range slices.Sorted(maps.Keys(leases)) {
			duties = append(duties, dutyView{name, leases[name].Holder, leases[name].Fence})
		}
	}
	return c.JSON(http.StatusOK, map[string]any{"revision": snapshot.Revision(), "platform_age_ms": s.Freshness.AgeMS(), "vms": views,
		"duties": duties, "bad_objects": snapshot.UnparsableObjects()})
}

type endpointView struct {
	apitypes.Endpoint
	NoNewWork bool   `json:"no_new_work"`
	Reason    string `json:"reason,omitempty"`
	// Load is the last report; nil when there is none.
	Load *apitypes.Load `json:"load,omitempty"`
}

func (s *Server) listEndpoints(c echo.Context) error {
	snapshot, views := s.Config.Current(), []endpointView{}
	loads := s.endpointLoads(c.Request().Context(), c.QueryParam("pool"))
	for _, pool := range slices.Sorted(maps.Keys(snapshot.Pools())) {
		if want := c.QueryParam("pool"); want != "" && want != pool || s.Endpoints == nil {
			continue
		}
		all := s.Endpoints.Endpoints(pool)
		for _, name := range slices.Sorted(maps.Keys(all)) {
			v := endpointView{Endpoint: all[name], Reason: controller.DrainReason(snapshot, pool, name)}
			if err := apitypes.CheckEndpointAddr(v.Addr); v.Reason == "" && v.Addr != "" && err != nil {
				v.Reason = err.Error()
			}
			if v.Reason == "" && v.State != apitypes.EndpointReady && v.State != "" {
				v.Reason = "the provider's state is " + string(v.State)
			}
			if l, ok := loads[name]; ok {
				v.Load = &l.Load
				if v.Reason == "" && l.noNewWork {
					v.Reason = "the endpoint drains, changes or leaves"
				}
			}
			v.NoNewWork = v.Reason != ""
			views = append(views, v)
		}
	}
	return c.JSON(http.StatusOK, map[string]any{"endpoints": views})
}

// setDrained adds an endpoint to the pool's list of drained endpoints or removes it.
func (s *Server) setDrained(c echo.Context, drained bool) error {
	if err := authorize(c, auth.ScopeEndpoints, ""); err != nil {
		return err
	}
	ctx, pool, name := c.Request().Context(), c.Param("pool"), c.Param("name")
	version, err := editObject(ctx, s, apitypes.KindPool, pool, false, func(p *apitypes.Pool) error {
		if slices.Contains(p.Drained, name) == drained {
			return errUnchanged
		}
		if !drained {
			p.Drained = slices.DeleteFunc(p.Drained, func(n string) bool { return n == name })
			return nil
		}
		if _, known := s.knownEndpoints(p, pool)[name]; !known {
			return notFound("endpoint", pool+"/"+name)
		}
		p.Drained = append(p.Drained, name)
		return nil
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, writeResult{version, s.confirm(ctx, apitypes.KindPool, pool, version)})
}

// knownEndpoints returns the endpoints of a pool by name, from the directory and from the pool's configuration.
func (s *Server) knownEndpoints(p *apitypes.Pool, pool string) map[string]apitypes.Endpoint {
	endpoints := make(map[string]apitypes.Endpoint)
	if s.Endpoints != nil {
		endpoints = s.Endpoints.Endpoints(pool)
	}
	for _, e := range p.Endpoints {
		endpoints[e.Name] = e
	}
	return endpoints
}

// listUnresolved returns the unresolved claims without their bodies, the oldest change first.
func (s *Server) listUnresolved(c echo.Context) error {
	shards, err := listObjects[apitypes.ClaimShard](c.Request().Context(), s, apitypes.KindClaims)
	if err != nil {
		return err
	}
	claims := []apitypes.Claim{}
	for _, shard := range shards {
		for _, c := range shard.Claims {
			if c.State == apitypes.ClaimUnresolved {
				c.Body = nil
				claims = append(claims, c)
			}
		}
	}
	slices.SortFunc(claims, func(a, b apitypes.Claim) int { return cmp.Compare(a.UpdatedAt, b.UpdatedAt) })
	return c.JSON(http.StatusOK, map[string]any{"claims": claims})
}

// resolve records an operator's decision about an unresolved claim. A claim in any other state is not changed, because a gateway
// may own it.
func (s *Server) resolve(c echo.Context) error {
	if err := authorize(c, auth.ScopeEndpoints, ""); err != nil {
		return err
	}
	var body struct {
		Outcome apitypes.ClaimState `json:"outcome"`
	}
	if err := bind(c, &body); err != nil {
		return err
	}
	if body.Outcome != apitypes.ClaimDone && body.Outcome != apitypes.ClaimNotRun {
		return apierror.New(apierror.InvalidRequest, "use done or not_run", "%q is not an outcome", body.Outcome)
	}
	ctx, key := c.Request().Context(), c.Param("key")
	shards, err := listObjects[apitypes.ClaimShard](ctx, s, apitypes.KindClaims)
	if err != nil {
		return err
	}
	for name, shard := range shards {
		if _, ok := shard.Claims[key]; !ok {
			continue
		}
		_, err := editObject(ctx, s, apitypes.KindClaims, name, false, func(shard *apitypes.ClaimShard) error {
			return resolveClaim(shard, key, body.Outcome)
		})
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, map[string]any{"key": key, "outcome": body.Outcome})
	}
	return notFound("claim", key)
}

// resolveClaim sets the outcome of an unresolved claim. It returns errUnchanged for a claim that has the outcome already.
func resolveClaim(shard *apitypes.ClaimShard, key string, outcome apitypes.ClaimState) error {
	c, ok := shard.Claims[key]
	if !ok {
		return notFound("claim", key)
	}
	if c.State == outcome {
		return errUnchanged
	}
	if c.State != apitypes.ClaimUnresolved {
		return apierror.New(apierror.Conflict, "only unresolved claims can be resolved; read the list again", "claim %s is %s", key, c.State)
	}
	shard.Claims[key] = claim.ResolveClaim(c, outcome, time.Now())
	return nil
}

func (s *Server) usage(c echo.Context) error {
	from, to := int64(0), int64(1<<62)
	for name, target := range map[string]*int64{"from": &from, "to": &to} {
		if text := c.QueryParam(name); text != "" {
			v, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				return apierror.New(apierror.InvalidRequest, "use Unix seconds", "%s=%q is not a time", name, text)
			}
			*target = v
		}
	}
	page, err := s.usageWindows(c.Request().Context(), from, to)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, page)
}

// maxUsageWindows bounds the windows in one response: a day of windows of five minutes.
const maxUsageWindows = 288

// usagePage is one page of usage windows.
type usagePage struct {
	Windows []apitypes.UsageWindow `json:"windows"`
	// Next is the start in Unix seconds from which to request the next page; 0 on the last page.
	Next int64 `json:"next,omitempty"`
}

// usageWindows returns the first page of the stored windows that start from one time to before another, in Unix seconds.
func (s *Server) usageWindows(ctx context.Context, from, to int64) (usagePage, error) {
	page := usagePage{Windows: []apitypes.UsageWindow{}}
	var log apitypes.UsageLog
	if found, err := s.readObject(ctx, apitypes.KindUsageLog, apitypes.UsageLogName, &log); err != nil || !found {
		return page, err
	}
	starts := log.WindowStartsBetween(from, to)
	if len(starts) > maxUsageWindows {
		page.Next = starts[maxUsageWindows]
		starts = starts[:maxUsageWindows]
	}
	for _, start := range starts {
		var w apitypes.UsageWindow
		found, err := s.readObject(ctx, apitypes.KindWindow, strconv.FormatInt(start, 10), &w)
		if err != nil {
			return page, err
		}
		if found {
			page.Windows = append(page.Windows, w)
		}
	}
	return page, nil
}

// readObject decodes an object that the system itself writes. It returns false when the object does not exist.
func (s *Server) readObject(ctx context.Context, kind, name string, target any) (bool, error) {
	o, err := s.Store.Get(ctx, kind, name)
	if errors.Is(err, objectstore.ErrNotFound) {
		return false, nil
	}
	if err == nil {
		err = json.Unmarshal(o.Data, target)
	}
	if err != nil {
		return false, s.storeError(ctx, kind, name, err)
	}
	return true, nil
}

type burnPoint struct {
	Start int64  `json:"start"`
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

type burnSeries struct {
	Team      string      `json:"team"`
	Route     string      `json:"route"`
	Objective float64     `json:"objective"`
	Points    []burnPoint `json:"points"`
}

// burn returns the numbers of requests that met their service-level target and of all requests, summed over the gateways by team,
// route and minute.
func (s *Server) burn(c echo.Context) error {
	var mu sync.Mutex
	type seriesKey struct{ team, route string }
	sums, objectives := make(map[seriesKey]map[int64]burnPoint), make(map[seriesKey]float64)
	s.eachGateway(c.Request().Context(), s.Members.All(), func(ctx context.Context, _ int, g peerpb.GatewayClient) {
		response, err := g.GetBurn(ctx, &peerpb.BurnRequest{})
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, counts := range response.Series {
			k := seriesKey{counts.Team, counts.Route}
			if sums[k] == nil {
				sums[k] = make(map[int64]burnPoint)
			}
			objectives[k] = counts.Objective
			for _, p := range counts.Points {
				sum := sums[k][p.Start]
				sums[k][p.Start] = burnPoint{p.Start, sum.Good + p.Good, sum.Total + p.Total}
			}
		}
	})
	series := []burnSeries{}
	for k, points := range sums {
		total := burnSeries{Team: k.team, Route: k.route, Objective: objectives[k]}
		for _, start := range slices.Sorted(maps.Keys(points)) {
			total.Points = append(total.Points, points[start])
		}
		series = append(series, total)
	}
	slices.SortFunc(series, func(a, b burnSeries) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Route, b.Route))
	})
	return c.JSON(http.StatusOK, map[string]any{"series": series})
}
