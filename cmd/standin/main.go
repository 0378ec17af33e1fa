// Command standin serves a stand-in platform, engine or plain service for tests and demos. It is not shipped.
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

func serve(name string, kind func(args []string) (string, http.Handler, error), args []string) int {
	address, handler, err := kind(args)
	if err != nil {
		return settings.ReportLoadError(os.Stderr, err)
	}
	t, err := telemetry.New(os.Stderr, "warn", telemetry.Identity{Role: "standin-" + name})
	if err != nil {
		return settings.ReportLoadError(os.Stderr, err)
	}
	part := daemon.HTTPServerComponent(name, address, nil, handler)
	part.Drain = nil // watches and streams of a stand-in don't end by themselves
	return daemon.Run(context.Background(), t, 0, []daemon.Component{part})
}

func platform(args []string) (string, http.Handler, error) {
	s, err := settings.LoadStandinPlatform(args, os.Stdout)
	if err != nil {
		return "", nil, err
	}
	mem := memplatform.New()
	var vms []apitypes.VM
	if err := readJSON(s.VMsFile, &vms); err != nil {
		return "", nil, err
	}
	mem.SetVMs(vms)
	var pools map[string][]apitypes.Endpoint
	if err := readJSON(s.EndpointsFile, &pools); err != nil {
		return "", nil, err
	}
	for pool, endpoints := range pools {
		mem.SetEndpoints(pool, endpoints)
	}
	return s.Listen, standin.NewPlatform(mem), nil
}

// readJSON reads a file; an empty path leaves v as it is.
func readJSON(path string, v any) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "name a readable file")
	}
	if err := json.Unmarshal(data, v); err != nil {
		return errors.Wrapf(err, "correct the JSON in %s", path)
	}
	return nil
}

func engine(args []string) (string, http.Handler, error) {
	s, err := settings.LoadStandinEngine(args, os.Stdout)
	if err != nil {
		return "", nil, err
	}
	return s.Listen, standin.NewEngine(standin.EngineConfig{Name: s.Name, Model: s.Model, Version: s.Version, Slots: s.Slots,
		PrefillRate: s.PrefillRate, DecodeRate: s.DecodeRate, ChecksFence: s.ChecksFence}), nil
}

func service(args []string) (string, http.Handler, error) {
	s, err := settings.LoadStandinService(args, os.Stdout)
	if err != nil {
		return "", nil, err
	}
	return s.Listen, standin.NewService(standin.ServiceConfig{Name: s.Name}), nil
}
