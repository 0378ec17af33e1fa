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
	"crocusglade.example/crocusglade/internal/netdial"
	"crocusglade.example/crocusglade/internal/objectstore"
)

const (
	// answerLifetime is how long callers keep a directory answer. It is short, because a VM that dies stays in it.
	answerLifetime = time.Second
	// relistPeriod is how often the store's list of VMs is read again once this VM is in it.
	relistPeriod = 15 * time.Second
	// announceRetry is the pause after a failed call.
	announceRetry = 300 * time.Millisecond
	// vmCallTimeout bounds one call to the store or to another VM.
	vmCallTimeout = time.Second
	// catalogPath is where a VM gives its configuration to other VMs.
	catalogPath = "/catalog"
	// ledgerPath is where a VM gives the usage counts of all VMs that it knows.
	ledgerPath = "/ledger"
	// maxVMAnswer bounds an answer of another VM.
	maxVMAnswer = 16 << 20
	// proofLimit is the part of the bound for withdrawn keys after which a VM without proof is left out of directory answers.
	proofLimit = 0.6
)

// announce lists this VM in the store and keeps up with the others that are listed.
func (n *Node) announce(ctx context.Context) error {
	for _, seed := range n.Seeds {
		n.seed(seed)
	}
	entered := false
	for ctx.Err() == nil {
		pause := relistPeriod
		if err := n.announceOnce(ctx, &entered); err != nil {
			pause = announceRetry
		}
		ctxtime.Sleep(ctx, pause)
	}
	return nil
}

// seed notes that a VM may be at the host of an address.
func (n *Node) seed(address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		n.log.Warn().Str("seed", address).Err(err).Msg("seed can't be read")
		return
	}
	n.link.AddSeedAddress(n.linkAddress(host))
}

func (n *Node) announceOnce(ctx context.Context, entered *bool) error {
	ctx, cancel := context.WithTimeout(ctx, vmCallTimeout)
	defer cancel()
	items, _, err := n.Store.List(ctx, n.Kinds.VMs)
	if err != nil {
		return err
	}
	var links []string
	own := n.linkAddress(n.IP)
	var version uint64
	for _, o := range items {
		link, ok := n.DecodeVM(o)
		if !ok {
			n.log.Warn().Str("object", o.Name).Msg("entry of a VM can't be read")
			continue
		}
		if o.Name == n.VM {
			version = o.Version
			*entered = *entered || link == own
			continue
		}
		links = append(links, link)
	}
	n.link.SetListedAddresses(links)
	if *entered {
		return nil
	}
	if _, err := n.Store.Put(ctx, n.Kinds.VMs, n.VM, n.EncodeVM(own), version); err != nil && !errors.Is(err, objectstore.ErrConflict) {
		return err
	}
	return errors.New("read the list again to see whether the entry is there")
}

// ready tells whether this VM takes callers.
func (n *Node) ready() bool { return !n.draining.Load() && n.server.Ready() }

// addresses returns at most limit addresses for callers of a failure domain. VMs that can't confirm their configuration are left out while
// others can: they must refuse requests with keys.
func (n *Node) addresses(domain string, limit int) ([]string, time.Duration) {
	oldest := time.Duration(proofLimit * float64(n.RevokeWithin))
	var vms []directory.VM
	if n.ready() {
		at, known := n.holder.ConfirmedAt()
		vms = append(vms, directory.VM{Address: n.Settings.CallerListenAddress, Domain: n.FailureDomain, ConfigConfirmed: known && bootclock.Since(at) < oldest})
	}
	for _, vm := range n.link.LivePeers() {
		if vm.Serving && !vm.Draining {
			age := time.Duration(vm.ConfirmedMS) * time.Millisecond
			vms = append(vms, directory.VM{Address: vm.Front, Domain: vm.Domain, ConfigConfirmed: vm.ConfirmedMS >= 0 && age < oldest})
		}
	}
	ttl := answerLifetime
	if n.DirectoryTTL > 0 {
		ttl = min(ttl, n.DirectoryTTL)
	}
	return directory.SelectAddresses(vms, domain, n.VM, limit), ttl
}

// linkHandler gives this VM's configuration to other VMs.
func (n *Node) linkHandler() http.Handler {
	e := echo.New()
	e.GET(catalogPath, func(c echo.Context) error {
		current := n.holder.Current()
		at, known := n.holder.ConfirmedAt()
		if current == nil || !known {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.JSON(http.StatusOK, catalogMessage{Revision: current.Revision, AgeMS: bootclock.Since(at).Milliseconds() + 1, Raw: current.Raw})
	})
	e.GET(relayPath+":kind", n.serveRelay)
	e.GET(keptPath, n.serveKept)
	e.GET(ledgerPath, func(c echo.Context) error { return c.JSON(http.StatusOK, n.ledger.All()) })
	return e
}

// catalogMessage is a VM's configuration and how many milliseconds ago the store was known to have no newer one.
type catalogMessage struct {
	Revision uint64          `json:"revision"`
	AgeMS    int64           `json:"age_ms"`
	Raw      json.RawMessage `json:"raw"`
}

var linkClient = &http.Client{Transport: &http.Transport{DialContext: netdial.NewDialer(vmCallTimeout/2, vmCallTimeout).DialContext,
	DisableCompression: true, DisableKeepAlives: true}}

// askVM reads JSON from another VM.
func askVM(ctx context.Context, link, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, vmCallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+link+path, nil)
	if err != nil {
		return errors.Wrapf(err, "ask a VM for %s", path)
	}
	resp, err := linkClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "ask a VM for %s", path)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("ask a VM for %s: status %d", path, resp.StatusCode)
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxVMAnswer)).Decode(out); err != nil {
		return errors.Wrapf(err, "a VM's answer for %s can't be read", path)
	}
	return nil
}

// fetchCatalog takes the configuration of another VM.
func (n *Node) fetchCatalog(ctx context.Context, link string) error {
	sent := bootclock.Now()
	var m catalogMessage
	if err := askVM(ctx, link, catalogPath, &m); err != nil {
		return err
	}
	c, err := n.DecodeCatalog(m.Raw, m.Revision)
	if err != nil {
		return err
	}
	n.useCatalog(c, sent.Add(-time.Duration(m.AgeMS)*time.Millisecond), "vm "+link)
	return nil
}
