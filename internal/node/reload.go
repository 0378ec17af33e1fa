package node

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"crocusglade.example/crocusglade/internal/ingress"
)

// settingsReloadInterval is how often the settings are read again, because they may change without a SIGHUP.
const settingsReloadInterval = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and every settingsReloadInterval until ctx ends. If they can't be read, the last
// valid settings stay in force.
func (n *Node) watchSettings(ctx context.Context) error {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	ticker := time.NewTicker(settingsReloadInterval)
	defer ticker.Stop()
	last := n.Settings
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-sighup:
			signalled = true
		case <-ticker.C:
		}
		if n.Reload != nil {
			last = n.reloadSettings(last, signalled)
		}
	}
}

// reloadSettings reads the settings, applies those that may change at run time, and returns the settings in force. The metrics
// port always stays as it was.
func (n *Node) reloadSettings(last Settings, signalled bool) Settings {
	s, err := n.Reload()
	if err != nil {
		n.log.Error().Err(err).Msg("reading the settings failed, keeping the last valid ones")
		return last
	}
	s.MetricsPort = last.MetricsPort
	changed := !reflect.DeepEqual(*s, last)
	if changed || signalled {
		n.bounds.Store(&ingress.Bounds{RevokeBound: s.RevokeBound, ApplyBound: s.ApplyBound})
		for _, seed := range s.Seeds {
			n.addSeed(seed)
		}
		n.log.Info().Bool("changed", changed).Bool("signal", signalled).Bool("restart_needed", restartNeeded(*s, last)).Msg("settings reloaded")
	}
	return *s
}

// restartNeeded reports whether any settings differ that take effect only at the start of the process.
func restartNeeded(s, last Settings) bool {
	s.RevokeBound, s.ApplyBound, s.Seeds = last.RevokeBound, last.ApplyBound, last.Seeds
	return !reflect.DeepEqual(s, last)
}
