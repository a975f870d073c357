package rockservice_test

import (
	"bufio"
	"errors"
	"net"
	"testing"

	"sassafrasrock/io/rockservice"
	"sassafrasrock/io/rockstandin"
	"sassafrasrock/io/rocktarget"
)

// Guards against a call whose path or query changes on the way to a backend server.
func TestCallIsSentUnchanged(t *testing.T) {
	lines := make(chan string, 1)
	l, err := rockstandin.ServeConns(func(conn net.Conn) {
		r := bufio.NewReader(conn)
		first, err := r.ReadString('\n')
		for line := first; err == nil && line != "\r\n"; {
			line, err = r.ReadString('\n')
		}
		lines <- first
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client := rockservice.New()
	for _, path := range []string{"/", "//", "//a/b?c", "/a?", "/a|b\"{}<>^`\\c", "/\xff", "//\xff?\xfe", "/a/./..//b%2F%2e", "/%zz"} {
		if _, err := client.Do(t.Context(), l.Addr().String(), rockservice.Call{Method: "GET", Path: path}); err != nil {
			t.Errorf("path %q: %v", path, err)
			continue
		}
		if got, want := <-lines, "GET "+path+" HTTP/1.1\r\n"; got != want {
			t.Errorf("the backend server got %q, want %q", got, want)
		}
	}
	_, err = client.Do(t.Context(), l.Addr().String(), rockservice.Call{Method: "GET", Path: "/a HTTP/1.1\r\nX: y"})
	if !errors.Is(err, rockservice.ErrUnreachable) || !errors.Is(err, rocktarget.ErrInvalid) {
		t.Errorf("path with a line break: got error %v, want ErrInvalid and ErrUnreachable, because nothing was sent", err)
	}
}
