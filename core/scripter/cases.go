package scripter

import (
	"fmt"
	"strings"
	"time"
)

// settle is the time after which an answer has arrived before its connection ends.
const settle = time.Millisecond

// success is the head of an answer without its framing and its end.
const success = "HTTP/1.1 200 OK\r\n"

// chunked returns the framing and the body of an answer in one chunk, with lines of a trailer.
func chunked(body, trailer string) string {
	return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, trailer)
}

// framed returns the framing and the body of an answer with a length.
func framed(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }

// Case is a server for tests of clients, which answers requests at once.
type Case struct {
	Config
	Whole bool // its answers must be taken for whole ones, and others must not
}

// Cases returns servers, by what is special about their answers. Whole answers have the status
// 200 and the given body, and broken ones resemble them. Where a connection is reset, a client can
// take the answer for whole only while it writes a request that the kernel's buffers of a
// connection don't hold.
func Cases(body string) map[string]Case {
	cases := map[string]Case{}
	for name, config := range sound(body) {
		cases[name] = Case{Config: config, Whole: true}
	}
	for name, config := range broken(body) {
		cases[name] = Case{Config: config}
	}
	return cases
}

func sound(body string) map[string]Config {
	const early, last = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", success + "Connection: close\r\n"
	return map[string]Config{
		"no length, ended unread": {Answer: Fixed(success + "\r\n" + body), Ending: HalfCloseUnread},
		"no length, ended":        {Answer: Fixed(success + "\r\n" + body), Delay: settle},
		"length, kept unread":     {Answer: Fixed(last + framed(body)), Ending: KeepUnread},
		"length, ended":           {Answer: Fixed(last + framed(body))},
		"interim head":            {Answer: Fixed(early + last + framed(body))},
		"trailer":                 {Answer: Fixed(last + chunked(body, "Note: a\r\n"))},
		"HTTP/1.0":                {Answer: Fixed("HTTP/1.0 200 OK\r\n\r\n" + body)},
	}
}

func broken(body string) map[string]Config {
	withStatus := func(line string) Config {
		return Config{Answer: Fixed(strings.Replace(success, "HTTP/1.1 200 OK", line, 1) + framed(body))}
	}
	return map[string]Config{
		"no length, reset":         {Answer: Fixed(success + "\r\n" + body), Ending: Reset, Delay: settle},
		"no length, closed unread": {Answer: Fixed(success + "\r\n" + body), Ending: CloseUnread, Delay: settle},
		"status 000":               withStatus("HTTP/1.1 000 OK"),
		"status 101":               withStatus("HTTP/1.1 101 OK"),
		"status 999":               withStatus("HTTP/1.1 999 OK"),
		"HTTP/9.9":                 withStatus("HTTP/9.9 200 OK"),
		"control byte in a reason": withStatus("HTTP/1.1 200 O\x01K"),
		"status 000, then a head":  {Answer: Fixed("HTTP/1.1 000 x\r\n\r\n" + success + framed(body))},
		"blank beside the length":  {Answer: Fixed(success + strings.Replace(framed(body), ":", " :", 1))},
		"blank in another name":    {Answer: Fixed(success + "Other Note: a\r\n" + framed(body))},
		"blank in an interim head": {Answer: Fixed("HTTP/1.1 103 x\r\nOther Note: a\r\n\r\n" + success + framed(body))},
		"blank in a trailer":       {Answer: Fixed(success + chunked(body, "Other Note: a\r\n"))},
		"control byte in a name":   {Answer: Fixed(success + "Other\x01Note: a\r\n" + framed(body))},
		"HTTP/1.0 in chunks":       {Answer: Fixed(strings.Replace(success, "1.1", "1.0", 1) + chunked(body, ""))},
	}
}
