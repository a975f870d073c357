package rockcrowd

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

const (
	// legalLines is the number of short lines of a head of 13 KB.
	legalLines = 1900
	// legalBodyBytes is the largest body that deployments allow.
	legalBodyBytes = 4 << 20
	// smallBodyBytes is the length of a body whose request is a small holding.
	smallBodyBytes = 60_000
	chunkBytes     = 1 << 10
)

// legalBody is the body of all clients.
var legalBody = make([]byte, legalBodyBytes)

// Crowds returns all kinds of crowds; the last one mixes the others. Their sizes suit a host with 136 MB and 2,870
// descriptors.
func Crowds() []Crowd {
	crowds := []Crowd{
		{Name: "short lines, whole heads", Connections: 1200, Send: func(c *Client) { c.write(shortLines(legalLines) + "\r\n") }},
		{Name: "short lines, heads without end", Connections: 1200, Send: sendUnfinishedHead},
		{Name: "odd lines", Connections: 1200, Send: sendOddLines},
		{Name: "heads over the limit", Connections: 300, Send: func(c *Client) { c.write(shortLines(40_000) + "\r\n") }},
		{Name: "empty lines without end", Connections: 600, Send: sendEmptyLines},
		{Name: "whole bodies", Connections: 80, Send: func(c *Client) { c.sendBody(legalBodyBytes, 0) }},
		{Name: "bodies in small chunks", Connections: 80, Send: sendChunks},
		{Name: "bodies that stop just short", Connections: 600, Send: sendShortBody},
		{Name: "connections without a byte", Connections: 3200, Send: func(*Client) {}},
		{Name: "heads in one packet with the request before", Connections: 1200, Send: sendPipelined},
	}
	return append(crowds, mix(crowds))
}

// mix returns a crowd in which one client after the other is of the next kind.
func mix(crowds []Crowd) Crowd {
	return Crowd{Name: "all kinds", Connections: 1500, Send: func(c *Client) {
		kind := crowds[c.Number%len(crowds)].Send
		c.Number /= len(crowds)
		kind(c)
	}}
}

// write sends the head of the target and a text after it, and reports whether that succeeded.
func (c *Client) write(text string) bool {
	_, err := io.WriteString(c, c.Target.Head+text)
	return err == nil
}

// shortLines returns header lines with different names and without values.
func shortLines(n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString("A" + strconv.FormatInt(int64(i), 16) + ":\r\n")
	}
	return text.String()
}

// sendUnfinishedHead sends most of a head at once and then a byte now and then.
func sendUnfinishedHead(c *Client) {
	for ok := c.write(shortLines(legalLines) + "X-Last: "); ok; {
		time.Sleep(trickleInterval)
		_, err := io.WriteString(c, "x")
		ok = err == nil
	}
}

// sendOddLines sends heads that are invalid or unusual, by the number of the client.
func sendOddLines(c *Client) {
	line := []string{
		"no colon\r\n",           // invalid
		": no name\r\n",          // invalid
		"X-Fold: a\r\n b\r\n",    // a folded line
		"\xe9\xff: 8 bits\r\n",   // an invalid name
		"X-%x:\xe9\r\n",          // 8-bit bytes in a value, which are valid
		"x-%x : \r\n",            // a space before the colon
		"X-%x:\n",                // no carriage return
		"X-%x: a\x00\r\n",        // an invalid byte in a value
		"X-%x:\t \t \t \t a\r\n", // white space
	}[c.Number%9]
	var text strings.Builder
	for i := 0; text.Len() < 13<<10; i++ {
		if strings.Contains(line, "%x") {
			fmt.Fprintf(&text, line, i)
		} else {
			text.WriteString(line)
		}
	}
	c.write(text.String())
}

// sendEmptyLines sends empty lines without end, every other client after a whole request.
func sendEmptyLines(c *Client) {
	if c.Number%2 == 0 && !c.write("Content-Length: 0\r\n\r\n") {
		return
	}
	for text := bytes.Repeat([]byte("\r\n"), 2<<10); ; {
		if _, err := c.Write(text); err != nil {
			return
		}
		time.Sleep(trickleInterval)
	}
}

// sendBody sends a request with a body of a declared length but for its last bytes.
func (c *Client) sendBody(length, missing int) {
	if c.write(fmt.Sprintf("Content-Length: %d\r\n\r\n", length)) {
		_, _ = c.Write(legalBody[:length-missing])
	}
}

func sendShortBody(c *Client) {
	if c.Number%8 == 0 {
		c.sendBody(legalBodyBytes, 1)
		return
	}
	c.sendBody(smallBodyBytes, 1)
}

// sendChunks sends a body in small chunks. Every other client leaves out its end.
func sendChunks(c *Client) {
	if !c.write("Transfer-Encoding: chunked\r\n\r\n") {
		return
	}
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", chunkBytes, bytes.Repeat([]byte("x"), chunkBytes))
	for range legalBodyBytes / chunkBytes {
		if _, err := c.Write(chunk); err != nil {
			return
		}
	}
	if c.Number%2 == 0 {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

// sendPipelined sends a request with a body and, in the same packet, the begin of a head.
func sendPipelined(c *Client) {
	const packetBytes = 4 << 10
	first := "Content-Length: 1\r\n\r\nx" + c.Target.Head
	c.write(first + shortLines(legalLines)[:packetBytes-len(first)-len(c.Target.Head)])
}
