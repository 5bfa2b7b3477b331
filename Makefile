# The tools have separate modules, so that users of the packages do not download them.
LINT_MODFILE := tools/lint/go.mod
WIRE_MODFILE := tools/wire/go.mod
BIN := bin

.PHONY: all build test race bench fuzz lint fmt generate demo clean

all: lint build test

build:
	go build -o $(BIN)/bergamotrudder .

test:
	go test ./...

race:
	go test -race ./...

bench:
	go test -run '^$$' -bench . -benchmem ./...

# The packages come first, because go test passes everything after an unknown flag to the
# test binary. Only packages that use rapid define the flag.
FUZZ_PACKAGES := ./internal/admission ./internal/booking ./internal/exchange ./internal/limits ./internal/membership ./internal/quarantine ./internal/reconcile
# Fuzz targets by package; go test runs one target at a time.
FUZZ_TIME := 30s
FUZZ_TARGETS := ./internal/entry:FuzzRequest ./internal/peer:FuzzCalls ./internal/peer:FuzzReplies ./internal/peer:FuzzFrames \
	./internal/exchange:FuzzService ./internal/membership:FuzzCompareAndPlan ./internal/booking:FuzzClaimObject \
	./internal/booking:FuzzTicket ./internal/configuration:FuzzParseHead ./internal/configuration:FuzzParseSection \
	./internal/forward:FuzzResponse ./internal/jsonlist:FuzzSplit ./platform:FuzzDecoders ./platform:FuzzHeaders ./platform:FuzzSignals
fuzz:
	go test $(FUZZ_PACKAGES) -run Stateful -count=1 -rapid.checks=2000
	for target in $(FUZZ_TARGETS); do \
		go test $${target%:*} -run '^$$' -fuzz "^$${target#*:}$$" -fuzztime $(FUZZ_TIME) || exit 1; \
	done

fmt:
	gofmt -w $$(git ls-files '*.go')

lint: $(BIN)/golangci-lint
	$(BIN)/golangci-lint run --allow-parallel-runners ./...

generate: $(BIN)/wire
	$(BIN)/wire gen ./internal/roles

demo:
	go run . demo

$(BIN)/golangci-lint: $(LINT_MODFILE)
	cd tools/lint && go build -o ../../$@ github.com/golangci/golangci-lint/v2/cmd/golangci-lint

$(BIN)/wire: $(WIRE_MODFILE)
	cd tools/wire && go build -o ../../$@ github.com/google/wire/cmd/wire

clean:
	rm -rf $(BIN)

# Prints the tables of docs/CAPACITY.md from fresh benchmark results.
CAPACITY_PACKAGES := ./internal/admission ./internal/booking ./internal/configuration ./internal/exchange ./internal/limits ./internal/membership ./internal/routing ./internal/instance ./internal/localfleet

.PHONY: capacity
capacity:
	go test -run '^$$' -bench 'Exchange|Membership|Configuration|Limiter|Queue|Table|Metrics|Stream|Held' -benchtime 200ms $(CAPACITY_PACKAGES) | go run ./internal/capacity/cmd/capacity
