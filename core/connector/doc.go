// Package connector sends requests to backend servers over HTTP/1.1 and reports
// for each failure whether the request may have run. The net/http transport
// reports neither whether bytes were sent nor which request an answer belongs
// to.
//
// An answer must belong to its request. An answer to another request, which a
// faulty server may leave on a connection, is skipped. A connection is reused
// only if the whole request was written, the whole answer was read, and no
// bytes follow the answer.
//
// # Usage
//
//	c := connector.New(connector.Config{})
//	answer, err := c.Send(ctx, address, connector.Request{...})
//	if err != nil {
//		var failed *connector.Error
//		if errors.As(err, &failed) && !failed.Sent { ... the request has not run ... }
//	}
//	defer answer.Close()
//	n, err := answer.Read(buffer)
//
// Cancelling ctx closes the connection, which tells the server to stop working
// on the request.
package connector
