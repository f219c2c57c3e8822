STATE ?= bin/state
# Renames identifiers with all their uses; a tool of the developers, no dependency of the module.
GOPLS_VERSION = v0.23.0

.PHONY: build test lint tools run toy fleet-a fleet-b fleet-c links

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -race -count=1 ./...

lint:
	go vet ./...
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }

tools:
	go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

# A sender with the example's configuration; `make toy` in another shell gives it a receiver and discovery.
run: build
	mkdir -p $(STATE)
	RELAY_NAME=n0 RELAY_LISTEN=127.0.0.1:6379 RELAY_DISCOVERY=127.0.0.1:8500 \
	RELAY_STATE=$(STATE) RELAY_CONFIG=examples/config.json exec bin/ravenlink

toy:
	go run ./examples/toy serve

# Three senders of one fleet, each in a shell of its own, and what stands between them: docs/fleet.md, Try it.
fleet-a fleet-b fleet-c: fleet-%: build
	mkdir -p $(STATE)-$*
	RELAY_NAME=$* RELAY_LISTEN=127.0.0.1:$(subst c,6381,$(subst b,6380,$(subst a,6379,$*))) RELAY_DISCOVERY=127.0.0.1:8500 \
	RELAY_STATE=$(STATE)-$* RELAY_CONFIG=examples/config.json exec bin/ravenlink --operator deploy/fleet-$*.toml

links:
	go run ./examples/toy links
