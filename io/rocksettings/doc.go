// Package rocksettings decodes and checks settings and configuration files. The files are JSON with
// comments. Unknown and out-of-range fields are errors, and all errors of a file are reported
// together.
package rocksettings
