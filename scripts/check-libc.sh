#!/bin/sh
# Fails unless each program given as an argument is dynamically linked to the C library.
set -eu
for program in "$@"; do
	if ! ldd "$program" 2>/dev/null | grep -q 'libc\.so'; then
		echo "$program is not dynamically linked to the C library; build it with CGO_ENABLED=1 and a C compiler" >&2
		exit 1
	fi
done
