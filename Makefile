GO ?= go

.PHONY: build test race lint format generate soak measure measure-at fleet bench demo

build:
	$(GO) build -o bin/ ./cmd/...

demo:
	$(GO) run ./cmd/yuccapaddle demo

test:
	$(GO) test ./...

race:
	$(GO) test -race ./...

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

format:
	$(GO) tool gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

generate:
	$(GO) build -o bin/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH="$(CURDIR)/bin:$$PATH" protoc --go_out=. --go_opt=module=yuccapaddle --go-grpc_out=. --go-grpc_opt=module=yuccapaddle internal/peer/peer.proto internal/peer/jobs.proto

SEED ?= 1
N ?= 200
soak:
	$(GO) test ./sessions -run TestHistories -count=1 -timeout 0 -histories $(N) -seed $(SEED) -v

measure:
	$(GO) test ./measures -run TestMeasures -count=1 -timeout 0 -measure -v

# Plays the table on an earlier version, to compare with: make measure-at REV=HEAD~10
measure-at:
	rm -rf bin/before && mkdir -p bin/before && git archive $(REV) | tar x -C bin/before
	cd bin/before && $(GO) test ./measures -run TestMeasures -count=1 -timeout 0 -measure -v

fleet:
	$(GO) test ./processes -run '^$$' -bench Fleet -benchtime 1x -timeout 30m

bench:
	$(GO) test ./measures -run '^$$' -bench . -benchmem
