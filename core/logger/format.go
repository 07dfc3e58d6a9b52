package logger

import (
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/phuslu/log"
)

// format writes a log event as key=value pairs. A value is quoted only if it is
// empty or contains a space, a double quote, an equals sign or a control
// character.
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
	needsQuotes := func(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r == 0x7f }
	if value == "" || strings.ContainsFunc(value, needsQuotes) {
		return strconv.Quote(value)
	}
	return value
}
