package ingress

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"crocusglade.example/crocusglade/internal/apierror"
	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/catalog"
	"crocusglade.example/crocusglade/internal/placement"
	"crocusglade.example/crocusglade/internal/retry"
)

// pausingBackend simulates endpoints of a plain service that run requests in slots and ask single VMs for pauses.
type pausingBackend struct {
	vm       int
	fleet    *placement.Fleet
	deaf     bool // the VM ignores notices
	services *pausingService
}

// pausingService is the state that the backends of all VMs share.
type pausingService struct {
	mu      sync.Mutex
	running map[string]int
	peak    int
	// pauses holds the end of the pause that an endpoint asked a VM for, by VM and endpoint.
	pauses map[string]time.Time
	// duringPause counts the requests that reached an endpoint during its pause, more than half a second after it was announced.
	duringPause int
	announced   map[string]time.Time
}

const (
	pausedSlots    = 6
	pausedWorkTime = 30 * time.Millisecond
)

func newPausingService() *pausingService {
	return &pausingService{running: make(map[string]int), pauses: make(map[string]time.Time), announced: make(map[string]time.Time)}
}

func (b *pausingBackend) Run(ctx context.Context, e *catalog.Endpoint, r *Request, _ *Dispatch) (*Answer, error) {
	s, key, now := b.services, fmt.Sprint(b.vm, e.ID), time.Now()
	s.mu.Lock()
	until, announced := s.pauses[key], s.announced[key]
	if now.Before(until) && !announced.IsZero() && now.Sub(announced) > 500*time.Millisecond {
		s.duringPause++
	}
	full := s.running[e.ID] >= pausedSlots
	if now.Before(until) || full {
		if now.Before(until) && announced.IsZero() {
			s.announced[key] = now
		}
		s.mu.Unlock()
		if now.Before(until) && !b.deaf {
			b.fleet.RecordNotice(e, placement.Notice{Pause: until.Sub(now)})
		}
		return &Answer{Status: http.StatusServiceUnavailable, NotRun: true, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	delete(s.announced, key)
	s.running[e.ID]++
	s.peak = max(s.peak, s.running[e.ID])
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running[e.ID]--
		s.mu.Unlock()
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(pausedWorkTime):
	}
	return &Answer{Status: http.StatusOK, Signed: true, Body: io.NopCloser(strings.NewReader(r.ID))}, nil
}

func (b *pausingBackend) Prefill(context.Context, *catalog.Endpoint, *Request, *Dispatch) (*Handle, int, error) {
	return nil, 0, errors.New("no engines")
}
func (b *pausingBackend) IsReachable(context.Context, *catalog.Endpoint) bool { return true }
func (b *pausingBackend) CachedParts(context.Context, *catalog.Endpoint) ([]placement.Part, error) {
	return nil, nil
}
func (b *pausingBackend) FreeHandle(context.Context, *Handle) {}

// recordedReply records the response to one request.
type recordedReply struct {
	served     bool
	retryAfter time.Duration
}

func (r *recordedReply) WriteAnswer(status int, _ http.Header, _ []byte) {
	r.served = status == http.StatusOK
}
func (r *recordedReply) StartStream(int, http.Header) {}
func (r *recordedReply) WriteEvent([]byte) error      { return nil }
func (r *recordedReply) Abort()                       {}
func (r *recordedReply) WriteError(_ *apierror.Error, retryAfter time.Duration) {
	r.retryAfter = retryAfter
}

type noObserver struct{}

func (noObserver) Finished(string, string, time.Duration, time.Duration) {}
func (noObserver) Retried(string, string)                                {}
func (noObserver) PartRefused(string)                                    {}
func (noObserver) Paused(string, bool)                                   {}

type noUsage struct{}

func (noUsage) CountRequest(string) {}

// newPausedVM returns the server of a VM before three endpoints of a plain service.
func newPausedVM(vm int, service *pausingService, deaf bool, waitShare float64) *Server {
	services := map[string]catalog.Service{"app": {Name: "app"}}
	holder := &catalog.Holder{}
	holder.Apply(&catalog.Catalog{Revision: 1, Services: services, Routes: []catalog.Route{{Name: "file", Host: "h", PathPrefix: "/",
		Semantics: catalog.AtMostOnce, Attempts: 2, Objective: 150 * time.Millisecond, WeightedServices: []catalog.WeightedService{{Service: "app", Weight: 1}}}}}, bootclock.Now())
	fleet := placement.New("z", placement.DefaultWeights)
	fleet.SetServices(services)
	var endpoints []catalog.Endpoint
	for n := range 3 {
		endpoints = append(endpoints, catalog.Endpoint{ID: fmt.Sprint("e", n), Service: "app", Slots: pausedSlots, FailureDomain: "z"})
	}
	fleet.SetEndpoints(endpoints)
	budget := retry.NewWindowBudget(0.2, 50, 10*time.Second)
	s := New(Config{Catalog: holder, Fleet: fleet, Backend: &pausingBackend{vm: vm, fleet: fleet, deaf: deaf, services: service}, Usage: noUsage{}, Budget: budget,
		Quarantine: retry.NewQuarantine(time.Minute), Parts: retry.NewPartQuarantine(time.Now), Log: zerolog.Nop(), Observe: noObserver{},
		Ready: func() bool { return true }, Bounds: func() Bounds { return Bounds{time.Hour, time.Hour} }})
	s.pauseWaitShare = waitShare
	return s
}

// pauseResult is what callers got while endpoints paused.
type pauseResult struct {
	asked, served, inTime, duringPause, peak int
}

// playPauses plays callers with one retry at four VMs, whose endpoints ask all VMs (or only one) for a pause of a length, every four
// seconds.
func playPauses(t *testing.T, deaf bool, waitShare float64, pause time.Duration, pausedVMs int) (result pauseResult) {
	synctest.Test(t, func(t *testing.T) {
		const vms, rate, deadline = 4, 160, 2500 * time.Millisecond
		service := newPausingService()
		var servers []*Server
		for vm := range vms {
			servers = append(servers, newPausedVM(vm, service, deaf, waitShare))
		}
		rng := rand.New(rand.NewPCG(1, 2))
		var wg sync.WaitGroup
		var mu sync.Mutex
		for n := range rate * 16 {
			if n%(4*rate) == 0 {
				service.mu.Lock()
				for vm := range pausedVMs {
					for e := range 3 {
						service.pauses[fmt.Sprint(vm, "e", e)] = time.Now().Add(pause)
					}
				}
				service.mu.Unlock()
			}
			first, other := rng.IntN(vms), 1+rng.IntN(vms-1)
			wg.Go(func() {
				began, reply := time.Now(), &recordedReply{}
				for try, vm := range []int{first, (first + other) % vms} {
					left := deadline - time.Since(began)
					*reply = recordedReply{}
					servers[vm].Serve(t.Context(), &Request{ID: fmt.Sprint(n, "-", try), Host: "h", Path: "/x", Timeout: left, Arrived: time.Now()}, reply)
					if reply.served || reply.retryAfter == 0 {
						break
					}
					time.Sleep(min(reply.retryAfter, (deadline-time.Since(began))/3)) // callers wait for at most a third of their time
				}
				mu.Lock()
				defer mu.Unlock()
				result.asked++
				if reply.served {
					result.served++
					if time.Since(began) <= 150*time.Millisecond {
						result.inTime++
					}
				}
			})
			time.Sleep(time.Second / rate)
		}
		wg.Wait()
		result.duringPause, result.peak = service.duringPause, service.peak
	})
	return result
}

// Guards against refusing callers that the VM could serve after a short wait, and against requests that reach an endpoint during its pause.
// The load is four VMs with 160 requests a second for three endpoints that serve 600.
func TestCallersAreServedAroundPauses(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond} {
		for _, pausedVMs := range []int{1, 4} {
			name := fmt.Sprintf("pause of %v at %d of 4 VMs", pause, pausedVMs)
			ignored := playPauses(t, true, 0, pause, pausedVMs)
			refused := playPauses(t, false, 0, pause, pausedVMs)
			third := playPauses(t, false, 1.0/3, pause, pausedVMs)
			waited := playPauses(t, false, maxPauseWaitShare, pause, pausedVMs)
			t.Logf("%s: ignored %+v, refused at once %+v, wait of a third %+v, wait of maxPauseWaitShare %+v", name, ignored, refused, third, waited)
			if waited.duringPause > 0 {
				t.Errorf("%s: %d requests reached an endpoint during its pause", name, waited.duringPause)
			}
			if pausedVMs == 1 && waited.served < waited.asked*99/100 {
				t.Errorf("%s: %d of %d callers were served although other VMs were free", name, waited.served, waited.asked)
			}
			if pausedVMs == 4 && (waited.served < ignored.served || waited.served < refused.served) {
				t.Errorf("%s: %d callers were served, %d when pauses are ignored and %d when they are refused at once", name, waited.served, ignored.served, refused.served)
			}
		}
	}
}
