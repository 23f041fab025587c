MODULES := core entry agent ctl stand platform proofs
PROGRAMS := entry agent ctl stand
VERSION ?= development

HISTORIES ?= 10000
HISTORY_FROM ?= 0
SOAK_SEEDS ?= 50
SOAK_FROM ?= 1
DRAWN_SEEDS ?= 1000
DRAWN_FROM ?= 1

.PHONY: build run test proofs soak fault-soak platform-soak drawn-hunt bench measure slopes lint format generate clean

build:
	@mkdir -p bin
	@for program in $(PROGRAMS); do \
		go build -ldflags "-X github.com/bambooladder/bambooladder/$$program/internal/launch.version=$(VERSION)" \
			-o bin/$$program ./$$program || exit 1; \
	done

run: build
	@exec scripts/run.sh

test: build
	@scripts/test.sh $(MODULES)

proofs: build
	@cd proofs && go test -count=1 ./...
	@cd core && go test -count=1 ./claim ./fold ./poison ./runs ./sched
	@cd entry && go test -count=1 ./internal/relay

soak:
	@cd proofs && HISTORIES=$(HISTORIES) HISTORY_FROM=$(HISTORY_FROM) go test -count=1 -timeout 0 -run TestHistories .

fault-soak: build
	@cd proofs && SOAK_SEEDS=$(SOAK_SEEDS) SOAK_FROM=$(SOAK_FROM) go test -count=1 -timeout 0 -run TestSoak .

# DRAWN_WITHOUT=CLASS,... leaves out classes of faults, DRAWN_SHRINK=1 shrinks finds to their fewest faults.
drawn-hunt:
	@cd proofs && DRAWN_SEEDS=$(DRAWN_SEEDS) DRAWN_FROM=$(DRAWN_FROM) go test -count=1 -timeout 0 -run TestDrawnHistoriesBreakNoRule .

platform-soak:
	@cd proofs && PLATFORM_SOAK_SEEDS=$(SOAK_SEEDS) PLATFORM_SOAK_FROM=$(SOAK_FROM) go test -count=1 -timeout 0 -run TestPlatformSoak .

bench:
	@cd proofs && go test -run xxx -bench 'Added|Rate' -benchtime 3000x .
	@cd proofs && go test -run xxx -bench Tokens -benchtime 500x .
	@cd proofs && go test -run xxx -bench 'OpenStreams|Hostile' -benchtime 1x .

measure:
	@cd proofs && MEASURE=1 go test -v -count=1 -timeout 30m -run TestMeasure .

slopes:
	@cd core && go test -run xxx -bench . -benchtime 200ms ./route ./fold
	@cd core && go test -run xxx -bench . -benchtime 1x ./claim

lint:
	@for module in $(MODULES); do (cd $$module && golangci-lint run ./...) || exit 1; done

format:
	@gofmt -w $(MODULES)

generate:
	@scripts/generate.sh

clean:
	@rm -rf bin run
