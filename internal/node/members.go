package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"crocusglade.example/crocusglade/internal/bootclock"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/directory"
	"crocusglade.example/crocusglade/internal/httpresponse"
	"crocusglade.example/crocusglade/internal/netdial"
	"crocusglade.example/crocusglade/internal/objectstore"
)

const (
	// directoryResponseTTL is how long callers may cache a directory response. It is short, because a cached response still lists a VM
	// that has failed since.
	directoryResponseTTL = time.Second
	// relistInterval is how often the store's list of VMs is read again once this VM is registered.
	relistInterval = 15 * time.Second
	// registerRetryDelay is the delay after a failed call, or after a write that is still to be verified.
	registerRetryDelay = 300 * time.Millisecond
	// vmCallTimeout bounds one call to the store or to another VM.
	vmCallTimeout = time.Second
	// catalogPath is the path at which a VM serves its configuration to other VMs.
	catalogPath = "/catalog"
	// ledgerPath is the path at which a VM serves its usage ledger, with the counts of all VMs, to other VMs.
	ledgerPath = "/ledger"
	// maxVMResponseBytes bounds a response of another VM.
	maxVMResponseBytes = 16 << 20
	// maxConfirmationAgeFraction is the fraction of RevokeBound after which a VM counts as having no confirmed configuration in
	// directory responses.
	maxConfirmationAgeFraction = 0.6
)

// maintainRegistration registers this VM in the store and follows the list of the other VMs until ctx ends.
func (n *Node) maintainRegistration(ctx context.Context) error {
	for _, seed := range n.Seeds {
		n.addSeed(seed)
	}
	registered := false
	for ctx.Err() == nil {
		newEra := n.Store.Eras().Changed()
		pause := relistInterval
		if err := n.registerAndList(ctx, &registered); err != nil {
			pause = registerRetryDelay
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-newEra:
			registered = false // the copy may lack the entry
			ctxtime.Sleep(ctx, registerRetryDelay)
		}
		timer.Stop()
	}
	return nil
}

// addSeed adds the host of a seed address to the link's addresses.
func (n *Node) addSeed(address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		n.log.Warn().Str("seed", address).Err(err).Msg("seed address is invalid")
		return
	}
	n.link.AddSeedAddress(n.linkAddress(host))
}

// registerAndList reads the list of VMs, passes the addresses of the others to the link, and registers this VM if it isn't listed.
// It returns an error after a write, because only the next list shows whether the entry exists. registered stays set once the
// entry was seen.
func (n *Node) registerAndList(ctx context.Context, registered *bool) error {
	ctx, cancel := context.WithTimeout(ctx, vmCallTimeout)
	defer cancel()
	items, _, err := n.Store.List(ctx, n.Kinds.VMs)
	if err != nil {
		return err
	}
	var links []string
	ownLink := n.linkAddress(n.IP)
	var version uint64
	for _, o := range items {
		link, ok := n.DecodeVM(o)
		if !ok {
			n.log.Warn().Str("object", o.Name).Msg("VM entry can't be decoded")
			continue
		}
		if o.Name == n.VM {
			version = o.Version
			*registered = *registered || link == ownLink
			continue
		}
		links = append(links, link)
	}
	n.link.SetListedAddresses(links)
	n.vmsListed.Store(true)
	n.updateKnownVMs()
	if *registered {
		return nil
	}
	if _, err := n.Store.Put(ctx, n.Kinds.VMs, n.VM, n.EncodeVM(ownLink), version); err != nil && !errors.Is(err, objectstore.ErrConflict) {
		return err
	}
	return errors.New("registration written but not verified; list the VMs again")
}

// ready reports whether this VM accepts callers.
func (n *Node) ready() bool { return !n.draining.Load() && n.server.Ready() }

// addresses returns at most limit addresses for callers of a failure domain, and their TTL. VMs without a recently confirmed
// configuration are left out while others have one, because they must refuse requests with keys.
func (n *Node) addresses(domain string, limit int) ([]string, time.Duration) {
	maxAge := time.Duration(maxConfirmationAgeFraction * float64(n.RevokeBound))
	var vms []directory.VM
	if n.ready() {
		confirmedAt, known := n.catalogHolder.ConfirmedAt()
		vms = append(vms, directory.VM{Address: n.Settings.CallerListenAddress, Domain: n.FailureDomain, ConfigConfirmed: known && bootclock.Since(confirmedAt) < maxAge})
	}
	for _, vm := range n.link.LivePeers() {
		if vm.Serving && !vm.Draining {
			age := time.Duration(vm.ConfirmedMS) * time.Millisecond
			vms = append(vms, directory.VM{Address: vm.CallerAddress, Domain: vm.Domain, ConfigConfirmed: vm.ConfirmedMS >= 0 && age < maxAge})
		}
	}
	ttl := directoryResponseTTL
	if n.DirectoryTTL > 0 {
		ttl = min(ttl, n.DirectoryTTL)
	}
	return directory.SelectAddresses(vms, domain, n.VM, limit), ttl
}

// linkHandler serves this VM's configuration, watch caches, cached prompt parts and usage ledger to other VMs.
func (n *Node) linkHandler() http.Handler {
	e := echo.New()
	e.GET(catalogPath, func(c echo.Context) error {
		current := n.catalogHolder.Current()
		confirmedAt, known := n.catalogHolder.ConfirmedAt()
		if current == nil || !known {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.JSON(http.StatusOK, catalogResponse{Revision: current.Revision, AgeMS: bootclock.Since(confirmedAt).Milliseconds() + 1, Raw: current.Raw})
	})
	e.GET(relayPath+":kind", n.serveRelay)
	e.GET(streamsPath+":key", n.serveStream)
	e.GET(cachedPartsPath, n.serveCachedParts)
	e.GET(ledgerPath, func(c echo.Context) error { return c.JSON(http.StatusOK, n.ledger.Copy(n.incarnation, n.meter)) })
	return e
}

// catalogResponse is a VM's configuration. AgeMS is how many milliseconds ago the store was known to have no newer one.
type catalogResponse struct {
	Revision uint64          `json:"revision"`
	AgeMS    int64           `json:"age_ms"`
	Raw      json.RawMessage `json:"raw"`
}

var linkClient = &http.Client{Transport: httpresponse.NewTransport(&http.Transport{DialContext: netdial.NewDialer(vmCallTimeout/2, vmCallTimeout).DialContext,
	DisableCompression: true, DisableKeepAlives: true})}

// getFromVM reads a path from the VM at a link address and decodes its JSON response into out.
func getFromVM(ctx context.Context, link, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, vmCallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+link+path, nil)
	if err != nil {
		return errors.Wrapf(err, "get %s from a VM", path)
	}
	resp, err := linkClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "get %s from a VM", path)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("get %s from a VM: status %d", path, resp.StatusCode)
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxVMResponseBytes)).Decode(out); err != nil {
		return errors.Wrapf(err, "decode response for %s from a VM", path)
	}
	return nil
}

// fetchCatalog reads the configuration of the VM at a link address and applies it if it is newer.
func (n *Node) fetchCatalog(ctx context.Context, link string) error {
	sent := bootclock.Now()
	var m catalogResponse
	if err := getFromVM(ctx, link, catalogPath, &m); err != nil {
		return err
	}
	n.observeEra(m.Revision)
	c, err := n.DecodeCatalog(m.Raw, m.Revision)
	if err != nil {
		return err
	}
	n.applyCatalog(c, sent.Add(-time.Duration(m.AgeMS)*time.Millisecond), "vm "+link)
	return nil
}
