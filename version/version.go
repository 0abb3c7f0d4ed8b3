// Package version defines the version of both programs.
package version

// Number is the version of this release.
const Number = "0.1.0"
