// Package rockdemo holds the commands of sassafrasrock-standin: run simulates the external systems, and
// drive runs a demonstration against them. The demonstration sends model requests and compares each answer
// with that of a run without faults, sends each application call twice, and kills backend servers
// meanwhile.
package rockdemo
