.PHONY: build test lint generate replay measure ci
build:
	go build -o bin/siskincross ./cmd/siskincross
test:
	_scripts/test
lint:
	_scripts/lint
generate:
	_scripts/generate
replay:
	_scripts/replay
measure:
	_scripts/measure
ci:
	.ci/run
