// Package rockdemo drives a demonstration against the stand-in: model requests
// whose answers are compared with those of an undisturbed run, application
// calls that are sent twice, and a backend server that is killed meanwhile.
package rockdemo
