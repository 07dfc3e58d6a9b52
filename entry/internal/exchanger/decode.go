package exchanger

import (
	"bamboohill/wire"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Fields of the messages that decoder reads itself.
const (
	workField     = 6
	serverField   = 1
	readingField  = 2
	contextField  = 6
	runningField  = 7
	partsField    = 8
	doneField     = 12
	failedField   = 13
	countsField   = 14
	usualServers  = 16 // servers at which an entry usually has work
	usualCounters = 4  // counts of one server
)

// decoder decodes datagrams. It reuses the memory for the work at servers, which is most of
// a datagram and is received some hundred times a second: a message is valid until the next
// one is decoded. The zero value is ready for use. It is not safe for concurrent use.
type decoder struct {
	rest    []byte             // all but the work
	servers []*wire.ServerWork // of which those of the last message come first
}

// decode decodes a datagram as proto.Unmarshal does.
func (d *decoder) decode(data []byte) (*wire.Outstanding, error) {
	d.rest = d.rest[:0]
	servers := 0
	for len(data) > 0 {
		field, kind, tag := protowire.ConsumeTag(data)
		if tag < 0 {
			return nil, protowire.ParseError(tag)
		}
		length := protowire.ConsumeFieldValue(field, kind, data[tag:])
		if length < 0 {
			return nil, protowire.ParseError(length)
		}
		if field == workField && kind == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(data[tag:])
			if servers == len(d.servers) {
				d.grow()
			}
			if err := decodeWork(value, d.servers[servers]); err != nil {
				return nil, err
			}
			servers++
		} else {
			d.rest = append(d.rest, data[:tag+length]...)
		}
		data = data[tag+length:]
	}
	o := &wire.Outstanding{}
	if err := proto.Unmarshal(d.rest, o); err != nil {
		return nil, err
	}
	if servers > 0 {
		o.Work = d.servers[:servers:servers]
	}
	return o, nil
}

func (d *decoder) grow() {
	block := make([]wire.ServerWork, usualServers)
	for i := range block {
		block[i].Counts = make([]uint32, 0, usualCounters)
		d.servers = append(d.servers, &block[i])
	}
}

// decodeWork replaces the fields of w. It ignores unknown fields.
func decodeWork(data []byte, w *wire.ServerWork) error {
	w.Server, w.ReadingMs, w.ContextK, w.Running, w.Parts, w.DoneTenths, w.FailedTenths = 0, 0, 0, 0, 0, 0, 0
	w.Counts = w.Counts[:0]
	for len(data) > 0 {
		field, kind, tag := protowire.ConsumeTag(data)
		if tag < 0 {
			return protowire.ParseError(tag)
		}
		length := protowire.ConsumeFieldValue(field, kind, data[tag:])
		if length < 0 {
			return protowire.ParseError(length)
		}
		value := data[tag : tag+length]
		switch kind {
		case protowire.Fixed32Type:
			if field == serverField {
				w.Server, _ = protowire.ConsumeFixed32(value)
			}
		case protowire.VarintType:
			n, _ := protowire.ConsumeVarint(value)
			setWork(w, field, uint32(n))
		case protowire.BytesType:
			if field == countsField {
				packed, _ := protowire.ConsumeBytes(value)
				if err := appendCounts(w, packed); err != nil {
					return err
				}
			}
		default:
		}
		data = data[tag+length:]
	}
	return nil
}

func setWork(w *wire.ServerWork, field protowire.Number, n uint32) {
	switch field {
	case readingField:
		w.ReadingMs = n
	case contextField:
		w.ContextK = n
	case runningField:
		w.Running = n
	case partsField:
		w.Parts = n
	case doneField:
		w.DoneTenths = n
	case failedField:
		w.FailedTenths = n
	case countsField: // not packed
		w.Counts = append(w.Counts, n)
	default:
	}
}

func appendCounts(w *wire.ServerWork, packed []byte) error {
	for len(packed) > 0 {
		n, length := protowire.ConsumeVarint(packed)
		if length < 0 {
			return protowire.ParseError(length)
		}
		w.Counts = append(w.Counts, uint32(n))
		packed = packed[length:]
	}
	return nil
}
