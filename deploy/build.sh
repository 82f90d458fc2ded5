#!/bin/sh
# Builds the program that the deploy file runs.
#
# Cargo tells changed sources by their file times alone. Sources that are laid over an older target/ folder with times
# before that build are passed over, and the old program stays in place. So this compares the content of each crate
# with that of its last build here, and has Cargo build the crates anew whose content differs or is not known.
set -eu
cd "$(dirname "$0")/.."

profile=${CARGO_TARGET_DIR:-target}/release
records=$profile/source-digests

# Prints the digest of the files of a crate that are compiled.
digest() {
  find "$1/src" "$1/Cargo.toml" "$1"/build.rs -type f 2>/dev/null | LC_ALL=C sort | xargs sha256sum | sha256sum
}

package_of() {
  sed -n 's/^name = "\(.*\)"/\1/p' "$1/Cargo.toml" | head -n 1
}

# Whether Cargo has built a package since its digest was recorded, from sources that nobody compared.
built_since() {
  find "$profile/.fingerprint" -path "*/$1-????????????????/*" -newer "$records/$1" 2>/dev/null | grep -q .
}

mkdir -p "$records"
changed=
for manifest in crates/*/Cargo.toml platform/Cargo.toml; do
  folder=$(dirname "$manifest")
  package=$(package_of "$folder")
  digest "$folder" > "$records/$package.new"
  if ! cmp -s "$records/$package.new" "$records/$package" || built_since "$package"; then
    rm -f "$records/$package"
    changed="$changed -p $package"
  fi
done
if [ -n "$changed" ]; then
  # shellcheck disable=SC2086 # a list of options
  cargo clean --release --locked $changed
fi

cargo build --release --locked -p hooklug-platform

for new in "$records"/*.new; do
  mv "$new" "${new%.new}"
  touch "${new%.new}"
done
