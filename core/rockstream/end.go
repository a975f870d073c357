package rockstream

// Process is what is known of the process of a backend server after a connection to it has ended.
type Process struct {
	Gone        bool   // nothing listens at its address
	Incarnation uint64 // 0 if it is not known
}

// IsCutOff reports whether an answer that ended with its connection was cut off by the end of the process that sent it.
// The kernel closes the connections of a process that ends like those of one that has sent all. Anything but a proof of
// that end leaves the answer complete: a sound backend server may be silent.
func IsCutOff(sender uint64, now Process) bool {
	return now.Gone || sender != 0 && now.Incarnation != 0 && now.Incarnation != sender
}
