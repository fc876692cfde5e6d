# Targets that developers and CI share.
GOLANGCI_LINT_VERSION := v2.15.0
BIN := $(CURDIR)/.bin
SEEDS ?= 200

.PHONY: build run test lint format generate simulate experiment capacity bench

build:
	go build -o bin/ ./cmd/...

run: build
	./bin/tillerlab fleet

# Every test, formatting, vet and lint: what CI calls. PASSED_OVER names tests to leave out.
test: lint
	go vet ./...
	go test -count=1 -timeout 20m $(if $(PASSED_OVER),-skip '^($(PASSED_OVER))$$') ./...

lint: $(BIN)/golangci-lint
	test -z "$$(gofmt -l cmd internal lab platform test)"
	$(BIN)/golangci-lint run ./...

$(BIN)/golangci-lint:
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

format:
	gofmt -w cmd internal lab platform test

generate:
	buf generate

simulate: build
	./bin/tillerlab simulate --seeds $(SEEDS) $(if $(SEED),--seed $(SEED))

experiment: build
	./bin/tillerlab experiment

capacity: build
	./bin/tillerlab capacity

bench:
	go test -run '^$$' -bench . -benchmem ./internal/...
