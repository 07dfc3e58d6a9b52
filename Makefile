# make demo and make test do all set-up on a fresh machine.
MODULES := wire core platform entry sidecar operator load standin prover
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
PROGRAMS := entry sidecar standin load
GOBIN := $(shell go env GOPATH)/bin
LINT := $(GOBIN)/golangci-lint
LINT_VERSION := v2.15.0

.PHONY: all build demo up test unit lint format model bench soak soak-direct capacity overhead strangers generate tools clean

all: build

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/$$p ./$$p || exit 1; done
	@go build -o bin/bamboohill ./operator

demo: build
	@demo/run

up: build
	@demo/up

test: lint unit model
	@.ci/red

# Tests that KNOWN-RED.txt lists are run and printed by .ci/red.
RED := $(shell sed -n 's/^[a-z][^ ]* \(Test[^ ]*\).*/\1$$/p' KNOWN-RED.txt | paste -sd'|')
SKIP := $(if $(RED),-skip '$(RED)')
# The limit of a package: replays take minutes of processor time, and more beside other work.
TEST_LIMIT := 30m
# The scenarios build the programs themselves, which the test cache can't see.
unit:
	go test -timeout $(TEST_LIMIT) $(SKIP) $(filter-out ./prover/...,$(PACKAGES))
	go test -timeout $(TEST_LIMIT) -count=1 $(SKIP) ./prover/...

lint: $(LINT)
	@test -z "$$(gofmt -l $(MODULES))" || { gofmt -l $(MODULES); echo "run make format"; exit 1; }
	$(LINT) run $(PACKAGES)

format: $(LINT)
	$(LINT) fmt $(PACKAGES)

$(LINT):
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

model:
	@model/run

bench: build
	@bench/bench

soak: build
	@bench/soak

# The soak of entries that call backend servers themselves: SEEDS, FIRST.
SEEDS ?= 20
FIRST ?= 1
soak-direct:
	go test -count=1 -v -timeout 2h -run 'TestSoak|TestCrashSoak' ./prover -soak.seeds $(SEEDS) -soak.first $(FIRST) -crash.seeds $(SEEDS) -crash.first $(FIRST)

capacity: build
	@bench/capacity

overhead: build
	@bench/overhead

strangers: build
	@bench/strangers

generate:
	cd wire && protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. wire.proto
	cd wire && protoc --go_out=paths=source_relative:. outstanding.proto

clean:
	rm -rf bin out
