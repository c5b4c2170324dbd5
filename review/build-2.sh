#!/bin/sh
# Builds every stand-in that the cases 6 to 10 of the review start, the project's own too, into bin/review-2.
# Run it after the build of the deploy file. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
source=review/_stand2
go build -o bin/review-2/standin ./examples/standin
go build -o bin/review-2/worker "$source/worker/main.go"
go build -o bin/review-2/half-requests "$source/rig.go" "$source/fastcgi.go" "$source/half_requests.go"
go build -o bin/review-2/upstream "$source/upstream/main.go"
go build -o bin/review-2/silent-upstream "$source/rig.go" "$source/fastcgi.go" "$source/acts.go" "$source/silent_upstream.go"
go build -o bin/review-2/lease-group "$source/rig.go" "$source/acts.go" "$source/lease_group.go"
go build -o bin/review-2/maintenance "$source/rig.go" "$source/acts.go" "$source/maintenance.go"
go build -o bin/review-2/stale-read "$source/rig.go" "$source/stale_read.go"
