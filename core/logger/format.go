package logger

import (
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/phuslu/log"
)

// format writes one event as key=value pairs; a value is quoted only if it is
// empty or holds a blank, a quote, an equals sign or a control character.
func format(out io.Writer, args *log.FormatterArgs) (int, error) {
	var b bytes.Buffer
	pair := func(key, value string) {
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(key)
		b.WriteByte('=')
		b.WriteString(quote(value))
	}
	pair("time", args.Time)
	pair("level", args.Level)
	for _, p := range args.KeyValues {
		pair(p.Key, p.Value)
	}
	if args.Message != "" {
		pair("message", args.Message)
	}
	b.WriteByte('\n')
	return out.Write(b.Bytes())
}

func quote(value string) string {
	plain := func(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r == 0x7f }
	if value == "" || strings.ContainsFunc(value, plain) {
		return strconv.Quote(value)
	}
	return value
}
