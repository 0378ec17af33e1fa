// Command standin runs a stand-in for a platform, an engine or a plain service in tests and demos. It is not part of releases.
package main

import "C"

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/apitypes"
	"crocusglade.example/crocusglade/internal/daemon"
	"crocusglade.example/crocusglade/internal/objectstore/memplatform"
	"crocusglade.example/crocusglade/internal/settings"
	"crocusglade.example/crocusglade/internal/standin"
	"crocusglade.example/crocusglade/internal/telemetry"
)

const usage = `usage: standin platform|engine|service [settings]
Run 'standin platform --help' and so on for all settings.
`

func main() {
	kinds := map[string]func(args []string) (string, http.Handler, error){
		"platform": platform, "engine": engine, "service": service}
	if len(os.Args) > 1 {
		if kind, ok := kinds[os.Args[1]]; ok {
			os.Exit(serve(os.Args[1], kind, os.Args[2:]))
		}
	}
	fmt.Fprint(os.Stderr, usage)
	os.Exit(settings.ExitUsage)
}

// serve runs a kind of stand-in with its command-line arguments and returns the exit code. kind returns the listen address and the handler.
func serve(name string, kind func(args []string) (string, http.Handler, error), args []string) int {
	address, handler, err := kind(args)
	if err != nil {
		return settings.ReportLoadError(os.Stderr, err)
	}
	t, err := telemetry.New(os.Stderr, "warn", telemetry.Identity{Role: "standin-" + name})
	if err != nil {
		return settings.ReportLoadError(os.Stderr, err)
	}
	component := daemon.HTTPServerComponent(name, address, nil, handler, t)
	component.Drain = nil // a drain would not end: the watches and streams of a stand-in stay open
	return daemon.Run(context.Background(), t, 0, []daemon.Component{component})
}

// platform returns the listen address and the handler of a stand-in platform.
func platform(args []string) (string, http.Handler, error) {
	s, err := settings.LoadStandinPlatform(args, os.Stdout)
	if err != nil {
		return "", nil, err
	}
	store := memplatform.New()
	var vms []apitypes.VM
	if err := readJSON(s.VMsFile, &vms); err != nil {
		return "", nil, err
	}
	store.SetVMs(vms)
	var pools map[string][]apitypes.Endpoint
	if err := readJSON(s.EndpointsFile, &pools); err != nil {
		return "", nil, err
	}
	for pool, endpoints := range pools {
		store.SetEndpoints(pool, endpoints)
	}
	return s.Listen, standin.NewPlatform(store), nil
}

// readJSON decodes a JSON file into v. An empty path leaves v unchanged.
func readJSON(path string, v any) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read file; give the path of a readable file")
	}
	if err := json.Unmarshal(data, v); err != nil {
		return errors.Wrapf(err, "decode %s; correct its JSON", path)
	}
	return nil
}

// engine returns the listen address and the handler of a stand-in engine.
func engine(args []string) (string, http.Handler, error) {
	s, err := settings.LoadStandinEngine(args, os.Stdout)
	if err != nil {
		return "", nil, err
	}
	return s.Listen, standin.NewEngine(standin.EngineConfig{Name: s.Name, Model: s.Model, Version: s.Version, Slots: s.Slots,
		PrefillRate: s.PrefillRate, DecodeRate: s.DecodeRate, ChecksFence: s.ChecksFence}), nil
}

// service returns the listen address and the handler of a stand-in service.
func service(args []string) (string, http.Handler, error) {
	s, err := settings.LoadStandinService(args, os.Stdout)
	if err != nil {
		return "", nil, err
	}
	return s.Listen, standin.NewService(standin.ServiceConfig{Name: s.Name}), nil
}
