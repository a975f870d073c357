package rockstandin

import "net"

// ServeConns accepts connections on a loopback port that the kernel assigns. It handles each in a goroutine of its own and
// then closes it. Closing the listener ends it.
func ServeConns(handle func(net.Conn)) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	return l, nil
}
