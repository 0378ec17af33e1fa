# Make targets of crocusglade. `make demo` and `make test` require only Go and a C compiler.

GO ?= go
BIN := bin
ARGS ?=

export CGO_ENABLED = 1

.PHONY: soak load build test check race cgo-check demo generate measure capacity bench fmt settings

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# test runs all checks: formatting, vet, staticcheck, the link to the C library and all tests under the race detector.
test: check build cgo-check race

check:
	@unformatted=$$(gofmt -l cmd internal platform); \
	if [ -n "$$unformatted" ]; then echo "files are not formatted; run 'make fmt':"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# LOAD_TESTS put load on single processes and check their memory. They run one at a time, after the other tests.
LOAD_TESTS := ^(TestMisbehavingClientsDoNotExhaustProcess|TestMisbehavingClientsLeaveTheNodeServing|TestSlowCallerIsServedDuringLoad|TestClientLoadOnNodePorts)$$

race:
	DEFERRED_TESTS='$(LOAD_TESTS)' ./scripts/test-with-known-red.sh $(GO) test -race -count=1 -timeout=20m ./...
	$(GO) test -count=1 -p 1 -timeout=20m -run '$(LOAD_TESTS)' ./internal/e2e ./platform/soak

# cgo-check verifies that the released binaries are dynamically linked to the C library.
cgo-check: build
	./scripts/check-libc.sh $(BIN)/crocusgladed $(BIN)/crocusgladectl

demo: build
	$(BIN)/localfleet $(ARGS)

fmt:
	gofmt -w cmd internal platform

# settings regenerates docs/settings.md from internal/settings.
settings:
	$(GO) test -count=1 ./internal/settings -run TestSettingsPage -args -settings.write

# generate regenerates the protobuf and gRPC code, which is committed; it requires protoc.
generate:
	$(GO) build -o $(BIN)/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH="$(CURDIR)/$(BIN):$$PATH" protoc --go_out=. --go_opt=module=crocusglade.example/crocusglade \
		--go-grpc_out=. --go-grpc_opt=module=crocusglade.example/crocusglade proto/peer/v1/peer.proto

# measure runs the measurements of the decision packages in virtual time and regenerates docs/measurements.md.
measure:
	$(GO) test -count=1 -timeout=60m ./internal/measure -run TestMeasure -args -measure.write=$(CURDIR)/docs/measurements.md

# load simulates rising load on the engine model in virtual time, compares it with simple baselines and regenerates docs/load.md
# and docs/load.svg.
load:
	$(GO) test -count=1 ./internal/enginemodel -run TestLoad -args -load.write=$(CURDIR)/docs

# capacity measures the resource use of gateways and controllers at several cluster sizes, for docs/CAPACITY.md. It takes about
# 7 minutes and starts up to 160 processes.
capacity:
	$(GO) run ./internal/capacity $(ARGS)

# bench runs the benchmarks for docs/performance.md: calls through a gateway compared with direct calls, then the decisions on
# the request path.
bench:
	$(GO) run ./internal/capacity -groups latency
	$(GO) test -run '^$$' -bench . -benchmem -timeout 10m ./internal/balancer ./internal/admission ./internal/config ./internal/auth ./internal/endpoint

# soak runs nodes as processes under injected faults, once for each of SEEDS seeds starting at FIRST (about 11 s each). The logs
# of failed seeds are written to /tmp/soak.
SEEDS ?= 50
FIRST ?= 1
soak:
	$(GO) test -count=1 -timeout=60m -v ./platform/soak -run TestSoak -soak.seeds=$(SEEDS) -soak.first=$(FIRST) -soak.logs=/tmp/soak
