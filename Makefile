.PHONY: build test lint generate ci
build:
	go build -o bin/siskincross ./cmd/siskincross
test:
	_scripts/test
lint:
	_scripts/lint
generate:
	_scripts/generate
ci:
	.ci/run
