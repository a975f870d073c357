// Package rocksettings decodes and checks settings and configuration files:
// JSON with comments, in which an unknown or out-of-range field is an error
// and all errors are reported at once.
package rocksettings
