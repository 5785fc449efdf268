#!/bin/sh
# Puts all that a router needs under target/deps.
set -eu
deps=target/deps
wanted=deploy/requirements.txt
if ! cmp -s "$wanted" "$deps/requirements.txt"; then
	rm -rf "$deps"
	mkdir -p "$deps"
	python3 -m pip install -q --target "$deps" -r "$wanted"
	python3 -m compileall -q "$deps"
	cp "$wanted" "$deps/requirements.txt"
fi
for package in packages/nutmeglift/nutmeglift \
	packages/nutmeglift_gateway/nutmeglift_gateway \
	platform/nutmeglift_platform; do
	rm -rf "$deps/$(basename "$package")"
	cp -R "$package" "$deps/"
	python3 -m compileall -q "$deps/$(basename "$package")"
done
