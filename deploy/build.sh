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
	target="$deps/$(basename "$package")"
	# Processes may be running from it: an unchanged package stays as it is.
	if ! diff -rq -x __pycache__ "$package" "$target" >/dev/null 2>&1; then
		rm -rf "$target"
		cp -R "$package" "$deps/"
		python3 -m compileall -q "$target"
	fi
done
