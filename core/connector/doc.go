// Package connector sends requests to backend servers over HTTP/1.1 and says
// of each failure whether the request may have run. A ready-made transport
// tells neither whether bytes were sent nor whose answer it read.
//
// An answer must belong to its request: one of another request, which a faulty
// server may leave on a connection, is passed over. A connection is used again
// only after a whole answer with nothing behind it, and when the whole request
// was written.
//
// # Usage
//
//	c := connector.New(connector.Config{})
//	answer, err := c.Send(ctx, address, connector.Request{...})
//	if err != nil {
//		var failed *connector.Error
//		if errors.As(err, &failed) && !failed.Sent { ... it has not run ... }
//	}
//	defer answer.Close()
//	n, err := answer.Read(buffer)
//
// Cancelling ctx closes the connection, which tells the server to stop.
package connector
